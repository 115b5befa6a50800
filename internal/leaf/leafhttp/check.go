package leafhttp

import (
	"errors"
	"syscall"
	"time"
)

// OnChecked is called with the result of a check: whether the leaf's process has exited.
type OnChecked func(exited bool)

// resetSettleTime is the time within which all connections to an exiting process are reset. The kernel sends the resets
// together.
const resetSettleTime = 3 * time.Millisecond

// Check determines whether a leaf's process has exited, after an attempt ended without a complete answer.
//
// Rule: the process has exited if its address refuses a connection (ECONNREFUSED). It is alive if the address accepts
// one. Without a reply it may be alive. If the leaf reset a new connection (wasReset), it most likely has too many. No
// other is opened then while established connections show that the process is alive.
//
// Concurrent checks of a leaf share one connection. Check does not block; report is called once, on another goroutine.
func (p *Pool) Check(target Target, wasReset bool, report OnChecked) {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf := p.leaf(target.LeafID)
	if leaf.hasExited {
		go report(true)
		return
	}
	if wasReset && leaf.established > 0 {
		time.AfterFunc(resetSettleTime, func() { p.checkUnlessConnected(target, report) })
		return
	}
	p.joinCheck(target, leaf, report)
}

// checkUnlessConnected reports a leaf as alive if connections to it are still established, and checks it otherwise.
func (p *Pool) checkUnlessConnected(target Target, report OnChecked) {
	p.mu.Lock()
	leaf := p.leaf(target.LeafID)
	if leaf.established > 0 {
		p.mu.Unlock()
		report(false)
		return
	}
	p.joinCheck(target, leaf, report)
	p.mu.Unlock()
}

// joinCheck joins the check in flight, or starts one. p.mu must be held.
func (p *Pool) joinCheck(target Target, leaf *leafConnections, report OnChecked) {
	leaf.checks = append(leaf.checks, report)
	if len(leaf.checks) == 1 {
		leaf.open++
		// If the connection can be opened, it replaces the lost one.
		go p.warm(target, true)
	}
}

// finishDial counts a connection dialed by warm as established, or removes it from the count if the dial failed. If
// isCheck is true, it finishes the check in the same critical section, so that no later check joins it. The returned
// function reports the result to the callers that joined the check.
func (p *Pool) finishDial(leafID string, err error, isCheck bool) (report func()) {
	if err == nil {
		p.onOpened()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf := p.leaf(leafID)
	report = func() {}
	if isCheck {
		report = leaf.finishCheck(IsNotListening(err))
	}
	if err != nil {
		p.removeFailed(leafID, leaf, err)
		return report
	}
	leaf.established++
	return report
}

// finishCheck finishes the check in flight and returns a function that reports the result to the callers that joined
// it. The pool's mu must be held.
func (l *leafConnections) finishCheck(exited bool) (report func()) {
	l.hasExited = l.hasExited || exited
	checks := l.checks
	l.checks = nil
	return func() {
		for _, report := range checks {
			report(exited)
		}
	}
}

// IsNotListening reports whether the error of an attempt means that no process listens at the leaf's address.
func IsNotListening(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

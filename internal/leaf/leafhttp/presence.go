package leafhttp

import (
	"errors"
	"syscall"
	"time"
)

// OnChecked is told whether a leaf's process has ended.
type OnChecked func(ended bool)

// settleTime is how long after a connection broke the others to the same process have broken too, if it ended: their
// resets set out together.
const settleTime = 3 * time.Millisecond

// Check finds out whether a leaf's process has ended, after an answer of it broke off: its address refuses connections
// then. A leaf that takes the new connection lives and lost the old one only, and one that is silent may live. A leaf
// that refused a connection most likely has too many; it is not burdened with one more while others to it stand.
// Whoever asks while that is being found out shares the answer. Check does not block; tell is called once, on a
// goroutine of its own.
func (p *Pool) Check(target Target, refused bool, tell OnChecked) {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf := p.leaf(target.LeafID)
	if leaf.hasEnded {
		go tell(true)
		return
	}
	if refused && leaf.up > 0 {
		time.AfterFunc(settleTime, func() { p.checkUp(target, tell) })
		return
	}
	p.joinCheck(target, leaf, tell)
}

// checkUp takes a leaf for alive to which connections still stand.
func (p *Pool) checkUp(target Target, tell OnChecked) {
	p.mu.Lock()
	leaf := p.leaf(target.LeafID)
	if leaf.up > 0 {
		p.mu.Unlock()
		tell(false)
		return
	}
	p.joinCheck(target, leaf, tell)
	p.mu.Unlock()
}

// joinCheck waits for the check that is under way, or begins one. The mutex must be held.
func (p *Pool) joinCheck(target Target, leaf *leafConnections, tell OnChecked) {
	leaf.checks = append(leaf.checks, tell)
	if len(leaf.checks) == 1 {
		leaf.open++
		// One that comes up takes the place of the one that was lost.
		go p.warm(target, func(err error) { p.tellChecks(target.LeafID, IsNotListening(err)) })
	}
}

// tellChecks tells whoever waits to learn whether a leaf has ended.
func (p *Pool) tellChecks(incarnation string, ended bool) {
	p.mu.Lock()
	leaf := p.leaf(incarnation)
	leaf.hasEnded = leaf.hasEnded || ended
	checks := leaf.checks
	leaf.checks = nil
	p.mu.Unlock()
	for _, tell := range checks {
		tell(ended)
	}
}

// IsNotListening reports whether the error of an attempt means that nothing listens at the leaf's address.
func IsNotListening(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

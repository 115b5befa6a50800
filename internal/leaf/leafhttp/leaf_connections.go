package leafhttp

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// leafConnections holds the connections to one leaf. It is guarded by the pool's mu.
type leafConnections struct {
	// account holds the memory of the leaf's answers; it is closed with the entry.
	account     *memorybudget.Account
	idle        []*connection // most recently used last
	open        int           // idle, in use and being opened
	established int           // idle and in use
	waiting     []*exchange
	forgotten   bool
	// resetAt is when the leaf last reset a new connection.
	resetAt time.Time
	// hasExited says that no process listens at the leaf's address any more. The callbacks in checks await the check in
	// flight.
	hasExited bool
	checks    []OnChecked
}

// limit returns the maximum number of connections: the node's allotment plus the extra connections, and at least one.
// No extra connections are allowed for the given pause after the leaf reset a new connection.
func (l *leafConnections) limit(target Target, pause time.Duration, now time.Time) int {
	if target.ExtraConnections > 0 && now.Sub(l.resetAt) >= pause {
		return target.Connections + target.ExtraConnections
	}
	return max(1, target.Connections)
}

// next removes and returns the exchange that has waited the longest, or nil if none is waiting. The pool's mu must be
// held.
func (l *leafConnections) next() *exchange {
	if len(l.waiting) == 0 {
		return nil
	}
	first := l.waiting[0]
	l.waiting = l.waiting[1:]
	return first
}

// nextFor removes and returns the exchange that has waited the longest of those that may use a connection, or nil if there
// is none. The pool's mu must be held.
func (l *leafConnections) nextFor(c *connection) *exchange {
	index := slices.IndexFunc(l.waiting, func(e *exchange) bool { return !e.request.wasCarriedBy(c) })
	if index < 0 {
		return nil
	}
	next := l.waiting[index]
	l.waiting = slices.Delete(l.waiting, index, index+1)
	return next
}

// mustReplace reports whether exchanges wait for a connection, but none of them may use this one. The pool's mu must be
// held.
func (l *leafConnections) mustReplace(c *connection) bool {
	return len(l.waiting) > 0 && !slices.ContainsFunc(l.waiting, func(e *exchange) bool { return !e.request.wasCarriedBy(c) })
}

// drop marks a connection as no longer counted. The pool's mu must be held.
func (l *leafConnections) drop(c *connection) {
	c.removed = true
	l.established--
}

// closeIdle closes the idle connection with the given index. The pool's mu must be held.
func (l *leafConnections) closeIdle(index int) {
	conn := l.idle[index]
	l.idle = slices.Delete(l.idle, index, index+1)
	l.drop(conn)
	conn.close()
	l.open--
}

// leaf returns the connections to a leaf, creating the entry if necessary. p.mu must be held.
func (p *Pool) leaf(leafID string) *leafConnections {
	leaf, found := p.leafs[leafID]
	if !found {
		leaf = &leafConnections{account: p.memory.Open(memorybudget.Leaf, leafID)}
		p.leafs[leafID] = leaf
	}
	return leaf
}

// reserve selects a connection for an exchange: the most recently used idle one that has not been idle for too long and
// has not carried the request. If there is none and the limit allows it, it counts a new connection, which the caller must
// open. At the limit, the new connection replaces idle ones. If none is idle, the exchange waits for the next connection
// that is released. p.mu must be held.
func (p *Pool) reserve(e *exchange) (conn *connection, mayOpen bool) {
	leaf := p.leaf(e.target.LeafID)
	now := time.Now()
	for index := len(leaf.idle) - 1; index >= 0; index-- {
		conn := leaf.idle[index]
		switch {
		case conn.idleExpired(now):
			leaf.closeIdle(index)
		case !e.request.wasCarriedBy(conn):
			leaf.idle = slices.Delete(leaf.idle, index, index+1)
			conn.assign(e)
			return conn, false
		}
	}
	limit := leaf.limit(e.target, p.cfg.ExtraPause, now)
	for len(leaf.idle) > 0 && leaf.open >= limit {
		leaf.closeIdle(0)
	}
	if leaf.open < limit {
		leaf.open++
		return nil, true
	}
	leaf.waiting = append(leaf.waiting, e)
	return nil, false
}

// stopWaiting removes an exchange from the waiting ones and cancels the opening of its connection. p.mu must be held.
func (p *Pool) stopWaiting(e *exchange) {
	if e.stopDial != nil {
		e.stopDial()
	}
	if leaf, found := p.leafs[e.target.LeafID]; found {
		leaf.waiting = slices.DeleteFunc(leaf.waiting, func(waiting *exchange) bool { return waiting == e })
	}
}

// dialed counts a new connection as established.
func (p *Pool) dialed(leafID string) {
	p.onOpened()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaf(leafID).established++
}

// dialFailed removes a connection that could not be opened from the count and lets a waiting exchange open another.
func (p *Pool) dialFailed(leafID string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf, found := p.leafs[leafID]
	if !found {
		return
	}
	p.removeFailed(leafID, leaf, err)
}

// removeFailed removes a connection that could not be opened from the count, and records the time if the leaf reset it.
// p.mu must be held.
func (p *Pool) removeFailed(leafID string, leaf *leafConnections, err error) {
	if isReset(err) {
		leaf.resetAt = time.Now()
	}
	p.removeOpen(leafID, leaf)
}

// removeOpen removes a connection from the count. If the limit then allows one, the exchange that has waited the
// longest opens another. p.mu must be held.
func (p *Pool) removeOpen(leafID string, leaf *leafConnections) {
	leaf.open--
	if len(leaf.waiting) > 0 && leaf.open < leaf.limit(leaf.waiting[0].target, p.cfg.ExtraPause, time.Now()) {
		leaf.open++
		go leaf.next().open()
		return
	}
	p.dropEmpty(leafID, leaf)
}

// dropEmpty drops the state of a forgotten leaf if it has no connections and no exchange waits for one. p.mu must be
// held.
func (p *Pool) dropEmpty(leafID string, leaf *leafConnections) {
	if leaf.forgotten && leaf.open == 0 && len(leaf.waiting) == 0 {
		leaf.account.Close()
		delete(p.leafs, leafID)
	}
}

// account returns the account of a leaf to which a connection is counted.
func (p *Pool) account(leafID string) *memorybudget.Account {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaf(leafID).account
}

// closeIdle closes the connections to a leaf that have been idle for too long, or all idle connections if all is true.
// p.mu must be held.
func (p *Pool) closeIdle(leaf *leafConnections, now time.Time, all bool) {
	kept := leaf.idle[:0]
	for _, conn := range leaf.idle {
		if all || conn.idleExpired(now) {
			leaf.drop(conn)
			conn.close()
			leaf.open--
			continue
		}
		kept = append(kept, conn)
	}
	clear(leaf.idle[len(kept):])
	leaf.idle = kept
}

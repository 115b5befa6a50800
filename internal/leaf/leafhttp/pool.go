package leafhttp

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// Target is the leaf that an attempt goes to.
type Target struct {
	// LeafID is the leaf's id, one of each of its lives.
	LeafID string
	// Name is what the leaf calls itself: it refuses requests meant for another. Empty if the id is its name.
	Name    string
	Address string
	// Connections is how many this node may have to the leaf in any case.
	Connections int
	// ExtraConnections is how many more it may try while the leaf takes them.
	ExtraConnections int
}

// expected gives the name that the leaf must have to take a request.
func (t Target) expected() string { return cmp.Or(t.Name, t.LeafID) }

// Pool holds the connections of a node to leafs; safe for concurrent use.
type Pool struct {
	config  Config
	dialect httpnames.Names
	// opened is told of each connection opened.
	opened func()
	// mayAsk reports whether a leaf may be sent a request now; nil allows all.
	mayAsk func(incarnation string) bool

	mu     sync.Mutex
	leafs  map[string]*leafConnections // by incarnation
	closed bool
}

// leafConnections are the connections to one leaf; guarded by the pool's mutex.
type leafConnections struct {
	idle      []*connection // most recently used last
	open      int           // idle, in use and being opened
	up        int           // idle and in use
	waiting   []*Exchange
	forgotten bool
	// refusedAt is when the leaf last refused a new connection.
	refusedAt time.Time
	// hasEnded says that nothing listens at its address any more, checks who waits to learn that.
	hasEnded bool
	checks   []OnChecked
}

// limit gives how many connections there may be now.
func (l *leafConnections) limit(target Target, pause time.Duration, now time.Time) int {
	if target.ExtraConnections > 0 && now.Sub(l.refusedAt) >= pause {
		return target.Connections + target.ExtraConnections
	}
	return max(1, target.Connections)
}

// New makes a pool; opened is told of each connection opened, and may be nil.
func New(config Config, dialect httpnames.Names, opened func()) *Pool {
	if opened == nil {
		opened = func() {}
	}
	return &Pool{config: config, dialect: dialect, opened: opened, leafs: map[string]*leafConnections{}}
}

// SetMaySend sets what is asked right before a request is sent, so that one that waited for a connection is
// not sent to a leaf that must get nothing any more. It must be set before the pool is used.
func (p *Pool) SetMaySend(mayAsk func(incarnation string) bool) { p.mayAsk = mayAsk }

// isBarred reports whether a leaf must get nothing.
func (p *Pool) isBarred(incarnation string) bool { return p.mayAsk != nil && !p.mayAsk(incarnation) }

// MayOpenExtra reports whether a leaf may be tried on a spare connection now.
func (p *Pool) MayOpenExtra(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf, found := p.leafs[incarnation]
	return !found || time.Since(leaf.refusedAt) >= p.config.SparePause
}

// Warm opens a connection to the first of some leafs of a service and lets it rest, unless there
// is one to any of them. It does not block.
func (p *Pool) Warm(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(targets) == 0 {
		return
	}
	for _, target := range targets {
		if known, found := p.leafs[target.LeafID]; found && known.open > 0 {
			return
		}
	}
	p.leaf(targets[0].LeafID).open++
	go p.warm(targets[0], func(error) {})
}

// warm opens a connection that is counted in already, tells of it, and reads it to its end.
func (p *Pool) warm(target Target, tell func(err error)) {
	held, err := dial(context.Background(), p, target)
	tell(err)
	if err != nil {
		p.countOut(target.LeafID, err)
		return
	}
	p.cameUp(target.LeafID)
	held.rest(target)
	held.read()
}

// cameUp counts a connection that was opened.
func (p *Pool) cameUp(incarnation string) {
	p.opened()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaf(incarnation).up++
}

// drop marks a connection as counted out. The mutex must be held.
func (l *leafConnections) drop(c *connection) {
	c.dropped = true
	l.up--
}

// leaf gives what is kept of a leaf. The mutex must be held.
func (p *Pool) leaf(incarnation string) *leafConnections {
	leaf, found := p.leafs[incarnation]
	if !found {
		leaf = &leafConnections{}
		p.leafs[incarnation] = leaf
	}
	return leaf
}

// reserve gives the exchange a resting connection, or counts one in that its caller may open, or
// lets it wait. The mutex must be held.
func (p *Pool) reserve(e *Exchange) (held *connection, mayOpen bool) {
	leaf := p.leaf(e.target.LeafID)
	now := time.Now()
	for len(leaf.idle) > 0 {
		last := len(leaf.idle) - 1
		held := leaf.idle[last]
		leaf.idle = leaf.idle[:last]
		if !held.rested(now) {
			held.assign(e)
			return held, false
		}
		leaf.drop(held)
		held.close()
		leaf.open--
	}
	if leaf.open < leaf.limit(e.target, p.config.SparePause, now) {
		leaf.open++
		return nil, true
	}
	leaf.waiting = append(leaf.waiting, e)
	return nil, false
}

// next gives the exchange that waits the longest; nil when none does. The mutex must be held.
func (l *leafConnections) next() *Exchange {
	if len(l.waiting) == 0 {
		return nil
	}
	first := l.waiting[0]
	l.waiting = l.waiting[1:]
	return first
}

// stopWaiting takes an exchange out that waits for a connection or opens one. The mutex must be
// held.
func (p *Pool) stopWaiting(e *Exchange) {
	if e.stopDial != nil {
		e.stopDial()
	}
	if leaf, found := p.leafs[e.target.LeafID]; found {
		leaf.waiting = slices.DeleteFunc(leaf.waiting, func(waiting *Exchange) bool { return waiting == e })
	}
}

// countOut counts a connection out that never came up, and lets another exchange open one.
func (p *Pool) countOut(incarnation string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf, found := p.leafs[incarnation]
	if !found {
		return
	}
	if isRefusal(err) {
		leaf.refusedAt = time.Now()
	}
	p.lost(incarnation, leaf)
}

// lost counts a connection out. Whoever waits may open another. The mutex must be held.
func (p *Pool) lost(incarnation string, leaf *leafConnections) {
	leaf.open--
	if len(leaf.waiting) > 0 && leaf.open < leaf.limit(leaf.waiting[0].target, p.config.SparePause, time.Now()) {
		leaf.open++
		go leaf.next().open()
		return
	}
	p.dropEmpty(incarnation, leaf)
}

func (p *Pool) dropEmpty(incarnation string, leaf *leafConnections) {
	if leaf.forgotten && leaf.open == 0 && len(leaf.waiting) == 0 {
		delete(p.leafs, incarnation)
	}
}

// Prune closes connections that have rested too long, and those to leafs that are not known
// any more; connections in use are closed when their attempt ends.
func (p *Pool) Prune(known func(incarnation string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for incarnation, leaf := range p.leafs {
		leaf.forgotten = !known(incarnation)
		p.closeRested(leaf, now, leaf.forgotten)
		p.dropEmpty(incarnation, leaf)
	}
}

// closeRested closes the connections to a leaf that have rested as long as they may, or all that rest. The mutex must be
// held.
func (p *Pool) closeRested(leaf *leafConnections, now time.Time, all bool) {
	kept := leaf.idle[:0]
	for _, held := range leaf.idle {
		if all || held.rested(now) {
			leaf.drop(held)
			held.close()
			leaf.open--
			continue
		}
		kept = append(kept, held)
	}
	clear(leaf.idle[len(kept):])
	leaf.idle = kept
}

// Resumed takes for how long the machine was suspended: connections rested meanwhile, and leafs may have closed them.
func (p *Pool) Resumed(slept time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, leaf := range p.leafs {
		for _, held := range leaf.idle {
			held.idleSince = held.idleSince.Add(-slept)
		}
		p.closeRested(leaf, now, leaf.forgotten)
	}
}

// OpenConnections gives the number of connections, those in use included.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, leaf := range p.leafs {
		open += leaf.open
	}
	return open
}

// Close closes every resting connection and refuses new attempts.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, leaf := range p.leafs {
		for _, held := range leaf.idle {
			leaf.drop(held)
			held.close()
		}
		leaf.open -= len(leaf.idle)
		leaf.idle = nil
	}
}

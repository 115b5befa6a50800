package leafhttp

import (
	"context"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// Pool owns the connections of a node to leafs; safe for concurrent use.
type Pool struct {
	config Config
	names  httpnames.Names
	// opened is called for each connection opened.
	opened func()
	// maySend reports whether a leaf may be sent a request now; nil allows all.
	maySend func(leafID string) bool

	mu     sync.Mutex
	leafs  map[string]*leafConnections // by id
	closed bool
}

// New returns a pool; opened is called for each connection opened, and may be nil.
func New(config Config, names httpnames.Names, opened func()) *Pool {
	if opened == nil {
		opened = func() {}
	}
	return &Pool{config: config, names: names, opened: opened, leafs: map[string]*leafConnections{}}
}

// SetMaySend sets the check that runs right before a request is sent, so that one that waited for a connection is
// not sent to a leaf that must get none any more. It must be set before the pool is used.
func (p *Pool) SetMaySend(maySend func(leafID string) bool) { p.maySend = maySend }

// isDisallowed reports whether a leaf must get no request.
func (p *Pool) isDisallowed(leafID string) bool { return p.maySend != nil && !p.maySend(leafID) }

// MayOpenExtra reports whether an extra connection to a leaf, beyond the node's allotment, may be opened now: not for
// Config.SparePause after the leaf refused a connection.
func (p *Pool) MayOpenExtra(leafID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf, found := p.leafs[leafID]
	return !found || time.Since(leaf.refusedAt) >= p.config.SparePause
}

// Warm opens a connection to the first of some leafs of a service and keeps it idle, unless there
// is a connection to any of them. It does not block.
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

// warm opens a connection that is counted already, reports the result, and reads it until its end.
func (p *Pool) warm(target Target, report func(err error)) {
	conn, err := dial(context.Background(), p, target)
	report(err)
	if err != nil {
		p.dialFailed(target.LeafID, err)
		return
	}
	p.dialed(target.LeafID)
	conn.makeIdle(target)
	conn.read()
}

// Prune closes connections that have been idle for too long, and those to leafs that are not known
// any more; connections in use are closed when their attempt ends.
func (p *Pool) Prune(known func(leafID string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for leafID, leaf := range p.leafs {
		leaf.forgotten = !known(leafID)
		p.closeIdle(leaf, now, leaf.forgotten)
		p.dropEmpty(leafID, leaf)
	}
}

// Resumed adds the time for which the machine was suspended to the idle times: leafs may have closed connections
// meanwhile.
func (p *Pool) Resumed(suspended time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, leaf := range p.leafs {
		for _, conn := range leaf.idle {
			conn.idleSince = conn.idleSince.Add(-suspended)
		}
		p.closeIdle(leaf, now, leaf.forgotten)
	}
}

// OpenConnections returns the number of connections, including those in use and being opened.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, leaf := range p.leafs {
		open += leaf.open
	}
	return open
}

// Close closes every idle connection and refuses new attempts.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, leaf := range p.leafs {
		for _, conn := range leaf.idle {
			leaf.drop(conn)
			conn.close()
		}
		leaf.open -= len(leaf.idle)
		leaf.idle = nil
	}
}

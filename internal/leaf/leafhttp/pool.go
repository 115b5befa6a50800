package leafhttp

import (
	"context"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// Pool owns the connections of a node to leafs. It is safe for concurrent use.
type Pool struct {
	cfg   Config
	names httpnames.Names
	// onOpened is called for each connection opened.
	onOpened func()
	// maySend reports whether requests may be sent to a leaf; nil allows all.
	maySend func(leafID string) bool
	// memory bounds what leafs together make the node hold; nil if it is unlimited.
	memory *memorybudget.Budget

	mu     sync.Mutex
	leafs  map[string]*leafConnections // by ID
	closed bool
}

// New returns a pool that calls onOpened, which may be nil, for each connection opened.
func New(cfg Config, names httpnames.Names, onOpened func()) *Pool {
	if onOpened == nil {
		onOpened = func() {}
	}
	return &Pool{cfg: cfg, names: names, onOpened: onOpened, leafs: map[string]*leafConnections{}}
}

// SetMaySend sets a check that runs right before a request is sent, so that a request that waited for a connection is
// not sent to a leaf that has been disallowed since. It must be called before the pool is used.
func (p *Pool) SetMaySend(maySend func(leafID string) bool) { p.maySend = maySend }

// SetMemory sets the budget for the answers of leafs. It must be called before the pool is used.
func (p *Pool) SetMemory(memory *memorybudget.Budget) { p.memory = memory }

// isDisallowed reports whether a leaf must get no requests.
func (p *Pool) isDisallowed(leafID string) bool { return p.maySend != nil && !p.maySend(leafID) }

// MayOpenExtra reports whether a connection to a leaf beyond the node's allotment may be opened. It may not be opened
// for Config.ExtraPause after the leaf reset a new connection.
func (p *Pool) MayOpenExtra(leafID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf, found := p.leafs[leafID]
	return !found || time.Since(leaf.resetAt) >= p.cfg.ExtraPause
}

// Warm opens an idle connection to the first target, unless the pool has a connection to any of the targets. It does
// not block.
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
	go p.warm(targets[0], false)
}

// warm opens a connection that is already counted as open, makes it idle, and reads it until it ends. If isCheck is
// true, the dial finishes the leaf's check. warm updates the pool's state before it reports the result, since the
// callbacks may trigger a retry at once.
func (p *Pool) warm(target Target, isCheck bool) {
	conn, err := dial(context.Background(), p, target)
	report := p.finishDial(target.LeafID, err, isCheck)
	if err != nil {
		report()
		return
	}
	conn.makeIdle(target)
	go report() // a slow callback must not delay reading
	conn.read()
}

// Prune closes connections that have been idle for too long and connections to leafs that are no longer known.
// Connections in use are closed when their attempt ends.
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

// Resumed adds the time during which the machine was suspended to the idle times of connections, since leafs may have
// closed them during that time.
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

// OpenConnections returns the number of connections, including connections in use and connections being opened.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, leaf := range p.leafs {
		open += leaf.open
	}
	return open
}

// Close closes all idle connections and rejects new attempts. Connections in use are closed when their attempt ends.
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

package leafhttp

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/portgauge/portgauge/internal/httpdialect"
)

// Target is the leaf that an attempt goes to.
type Target struct {
	// Incarnation is the leaf's id; the leaf refuses requests meant for another.
	Incarnation string
	Address     string
	// Connections is how many this node may have to the leaf in any case.
	Connections int
	// Spare is how many more it may try while the leaf takes them.
	Spare int
}

// Pool holds the connections of a node to leafs; safe for concurrent use.
type Pool struct {
	config  Config
	dialect httpdialect.Dialect
	// opened is told of each connection opened.
	opened func()

	mutex  sync.Mutex
	leafs  map[string]*leafConnections // by incarnation
	closed bool
}

// leafConnections are the connections to one leaf; guarded by the pool's mutex.
type leafConnections struct {
	idle      []*connection // most recently used last
	open      int           // idle, in use and being opened
	waiting   []chan struct{}
	forgotten bool
	// refusedAt is when the leaf last refused a new connection.
	refusedAt time.Time
}

// limit gives how many connections there may be now.
func (l *leafConnections) limit(target Target, pause time.Duration, now time.Time) int {
	if target.Spare > 0 && now.Sub(l.refusedAt) >= pause {
		return target.Connections + target.Spare
	}
	return max(1, target.Connections)
}

// New makes a pool; opened is told of each connection opened, and may be nil.
func New(config Config, dialect httpdialect.Dialect, opened func()) *Pool {
	if opened == nil {
		opened = func() {}
	}
	return &Pool{config: config, dialect: dialect, opened: opened, leafs: map[string]*leafConnections{}}
}

// Do runs one attempt. Its error is a *NeverSentError or a *BrokenAnswerError. When the
// context ends, the connection is closed at once, unless the cause is ErrSuperseded: then the
// answer is awaited a little longer, to keep the connection.
func (p *Pool) Do(ctx context.Context, target Target, request *Request, deadline time.Time) (*Response, error) {
	held, err := p.acquire(ctx, target)
	if err != nil {
		return nil, &NeverSentError{Cause: err}
	}
	abandoned := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		p.abandon(ctx, held)
		close(abandoned)
	})
	response, reusable, err := held.exchange(p.dialect, p.config, request, target.Incarnation, deadline)
	if !stop() {
		<-abandoned
		superseded := errors.Is(context.Cause(ctx), ErrSuperseded)
		reusable = reusable && superseded && held.socket.SetDeadline(time.Time{}) == nil
	}
	if err != nil && held.isRefused(err) {
		p.refused(target.Incarnation)
	}
	p.release(target, held, reusable)
	return response, err
}

// refused remembers that a leaf takes no more connections for now.
func (p *Pool) refused(incarnation string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if leaf, found := p.leafs[incarnation]; found {
		leaf.refusedAt = time.Now()
	}
}

// CanSpare reports whether a leaf may be tried on a spare connection now.
func (p *Pool) CanSpare(incarnation string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	leaf, found := p.leafs[incarnation]
	return !found || time.Since(leaf.refusedAt) >= p.config.SparePause
}

// abandon ends an attempt whose answer nobody waits for.
func (p *Pool) abandon(ctx context.Context, held *connection) {
	if p.config.LingerTimeout > 0 && errors.Is(context.Cause(ctx), ErrSuperseded) {
		if held.socket.SetDeadline(time.Now().Add(p.config.LingerTimeout)) == nil {
			return
		}
	}
	held.close()
}

// acquire gives a connection to the leaf: a resting one, a new one, or one that another
// attempt gives back.
func (p *Pool) acquire(ctx context.Context, target Target) (*connection, error) {
	for {
		held, wait, err := p.reserve(target)
		switch {
		case err != nil:
			return nil, err
		case held != nil:
			return held, nil
		case wait == nil:
			return p.open(ctx, target)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			p.stopWaiting(target.Incarnation, wait)
			return nil, context.Cause(ctx)
		}
	}
}

// reserve gives a resting connection, or a channel to wait on; neither means that the caller
// may open one, which is counted already.
func (p *Pool) reserve(target Target) (*connection, chan struct{}, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, errClosed
	}
	leaf, found := p.leafs[target.Incarnation]
	if !found {
		leaf = &leafConnections{}
		p.leafs[target.Incarnation] = leaf
	}
	now := time.Now()
	for len(leaf.idle) > 0 {
		last := len(leaf.idle) - 1
		held := leaf.idle[last]
		leaf.idle = leaf.idle[:last]
		if !held.rested(now, p.config.IdleReserve) && held.quiet() {
			return held, nil, nil
		}
		held.close()
		leaf.open--
	}
	if leaf.open < leaf.limit(target, p.config.SparePause, now) {
		leaf.open++
		return nil, nil, nil
	}
	wait := make(chan struct{}, 1)
	leaf.waiting = append(leaf.waiting, wait)
	return nil, wait, nil
}

func (p *Pool) open(ctx context.Context, target Target) (*connection, error) {
	held, err := dial(ctx, p.config, target.Address)
	if err != nil {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if leaf, found := p.leafs[target.Incarnation]; found {
			leaf.open--
			leaf.wakeOne()
			if errors.Is(err, syscall.ECONNRESET) {
				leaf.refusedAt = time.Now()
			}
		}
		return nil, err
	}
	p.opened()
	return held, nil
}

// release gives a connection back, or counts it out. A spare one rests only while the node's
// own part is not used up by others.
func (p *Pool) release(target Target, held *connection, reusable bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	incarnation := target.Incarnation
	leaf, found := p.leafs[incarnation]
	if !found || p.closed || leaf.forgotten {
		reusable = false
	}
	if found {
		leaf.wakeOne()
	}
	if !reusable {
		held.close()
		if found {
			leaf.open--
			p.dropEmpty(incarnation, leaf)
		}
		return
	}
	held.idleSince = time.Now()
	held.isSpare = leaf.open > target.Connections
	leaf.idle = append(leaf.idle, held)
}

func (l *leafConnections) wakeOne() {
	if len(l.waiting) == 0 {
		return
	}
	l.waiting[0] <- struct{}{}
	l.waiting = l.waiting[1:]
}

// stopWaiting takes a waiter out; one that was woken meanwhile wakes the next instead.
func (p *Pool) stopWaiting(incarnation string, wait chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	leaf, found := p.leafs[incarnation]
	if !found {
		return
	}
	for index, waiting := range leaf.waiting {
		if waiting == wait {
			leaf.waiting = append(leaf.waiting[:index], leaf.waiting[index+1:]...)
			return
		}
	}
	leaf.wakeOne()
}

func (p *Pool) dropEmpty(incarnation string, leaf *leafConnections) {
	if leaf.forgotten && leaf.open == 0 && len(leaf.waiting) == 0 {
		delete(p.leafs, incarnation)
	}
}

// Keep closes connections that have rested too long, and those to leafs that are not known
// any more; connections in use are closed when their attempt ends.
func (p *Pool) Keep(known func(incarnation string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	for incarnation, leaf := range p.leafs {
		leaf.forgotten = !known(incarnation)
		kept := leaf.idle[:0]
		for _, held := range leaf.idle {
			if leaf.forgotten || held.rested(now, p.config.IdleReserve) || !held.quiet() {
				held.close()
				leaf.open--
				continue
			}
			kept = append(kept, held)
		}
		leaf.idle = kept
		p.dropEmpty(incarnation, leaf)
	}
}

// Open gives the number of connections, those in use included.
func (p *Pool) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	open := 0
	for _, leaf := range p.leafs {
		open += leaf.open
	}
	return open
}

// Close closes every resting connection and refuses new attempts.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, leaf := range p.leafs {
		for _, held := range leaf.idle {
			held.close()
		}
		leaf.open -= len(leaf.idle)
		leaf.idle = nil
	}
}

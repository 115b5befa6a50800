package search

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// drainRetryAfter is the delay after which callers of a stopping node may retry. By then discovery and the other nodes
// list it as stopping.
const drainRetryAfter = 50 * time.Millisecond

// notReadyRetryAfter is the delay after which callers may retry if the node has no configuration or the service no
// snapshot yet.
const notReadyRetryAfter = time.Second

// SetReady makes the engine accept searches. It is called once the configuration is loaded.
func (e *Engine) SetReady() { e.ready.Store(true) }

// Ready reports whether callers should send searches to this node.
func (e *Engine) Ready() bool {
	return e.ready.Load() && !e.isStopping.Load() && !e.draining.Load()
}

// PrepareStop makes the node report that it is not ready, while it still accepts searches, so that callers and load
// balancers switch to other nodes before any search is refused.
func (e *Engine) PrepareStop() { e.isStopping.Store(true) }

// Draining reports whether the node refuses new searches for a planned stop.
func (e *Engine) Draining() bool { return e.draining.Load() }

// Drain refuses new searches and waits until those in flight have ended or the context is done.
func (e *Engine) Drain(ctx context.Context) error {
	e.mu.Lock()
	if !e.draining.Swap(true) && e.running == 0 {
		close(e.idle)
	}
	e.mu.Unlock()
	select {
	case <-e.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Acquire counts a search as in flight until release is called, so that Drain waits for it.
func (e *Engine) Acquire() (release func(), err error) {
	if err := e.enter(); err != nil {
		return nil, err
	}
	return e.leave, nil
}

// enter counts a search as in flight. It fails if the node is draining or not ready.
func (e *Engine) enter() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining.Load() {
		return failure.New(failure.Draining, failure.NotRun, "the node is stopping; send the search to another node").WithRetryAfter(drainRetryAfter)
	}
	if !e.ready.Load() {
		return failure.New(failure.NotReady, failure.NotRun, "the node has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	e.running++
	return nil
}

// leave ends a search that enter counted.
func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.draining.Load() && e.running == 0 {
		close(e.idle)
	}
}

package search

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// drainRetryAfter is the delay after which callers of a stopping node may retry; by then the machine list and
// the other nodes know that it stops.
const drainRetryAfter = 50 * time.Millisecond

// notReadyRetryAfter is the delay after which callers of a node without configuration may retry.
const notReadyRetryAfter = time.Second

// SetReady makes the engine accept searches, once the configuration is loaded.
func (e *Engine) SetReady() { e.ready.Store(true) }

// Ready reports whether callers should send searches here.
func (e *Engine) Ready() bool {
	return e.ready.Load() && !e.isStopping.Load() && !e.draining.Load()
}

// PrepareStop makes the node report not ready while it still accepts searches, so that callers and
// load balancers use other nodes before any search is refused.
func (e *Engine) PrepareStop() { e.isStopping.Store(true) }

// Draining reports whether the node refuses new searches for a planned stop.
func (e *Engine) Draining() bool { return e.draining.Load() }

// Drain refuses new searches and waits until those in flight or the context have ended.
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

// Acquire counts a search as in flight, so that Drain waits, until release is called.
func (e *Engine) Acquire() (release func(), err error) {
	if err := e.enter(); err != nil {
		return nil, err
	}
	return e.leave, nil
}

// enter counts a search as in flight; it fails if the node is stopping or has no configuration.
func (e *Engine) enter() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining.Load() {
		return failure.New(failure.Draining, failure.NotRun, "the node is stopping; ask another").WithRetryAfter(drainRetryAfter)
	}
	if !e.ready.Load() {
		return failure.New(failure.NotReady, failure.NotRun, "the node has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	e.running++
	return nil
}

// leave ends what enter counted.
func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.draining.Load() && e.running == 0 {
		close(e.idle)
	}
}

package gateway

import (
	"errors"
	"sync"
	"time"
)

// errSuspended is the cause of cancelling a request whose deadline passed while the machine was suspended. Timers and
// deadlines use a clock that stops during a suspension: without this, the caller would wait, and leafs would work,
// longer by the time of the suspension.
var errSuspended = errors.New("the machine was suspended past the request's deadline")

// inFlight is the set of executions in flight. It is safe for concurrent use, and its zero value is empty.
type inFlight struct {
	mu         sync.Mutex
	executions map[*execution]struct{}
}

func (f *inFlight) add(e *execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.executions == nil {
		f.executions = map[*execution]struct{}{}
	}
	f.executions[e] = struct{}{}
}

func (f *inFlight) remove(e *execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.executions, e)
}

// Resumed notifies the gateway that the machine was suspended for some time. The deadlines of the requests in flight
// move earlier by that time, and requests whose deadline has passed are cancelled.
func (g *Gateway) Resumed(slept time.Duration) {
	g.inFlight.mu.Lock()
	defer g.inFlight.mu.Unlock()
	for e := range g.inFlight.executions {
		e.suspendedNanos.Add(int64(slept))
		if !time.Now().Before(e.deadline()) {
			e.cancel(errSuspended)
		}
	}
}

// deadline returns when the answer must have been sent, by the monotonic clock, which stops while the machine is
// suspended.
func (e *execution) deadline() time.Time {
	return e.request.deadline.Add(-time.Duration(e.suspendedNanos.Load()))
}

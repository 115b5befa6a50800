package gateway

import (
	"errors"
	"sync"
	"time"
)

// errSuspended ends the work on a request whose deadline passed while the machine was suspended. Timers and deadlines
// stand still meanwhile: without it the caller, if there still is one, would be held for as long again, and leafs would
// be given time that the caller does not have.
var errSuspended = errors.New("the machine was suspended beyond the request's deadline")

// inFlight are the requests that are being worked on; safe for concurrent use. The zero value is empty.
type inFlight struct {
	mu         sync.Mutex
	executions map[*execution]struct{}
}

func (u *inFlight) add(e *execution) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.executions == nil {
		u.executions = map[*execution]struct{}{}
	}
	u.executions[e] = struct{}{}
}

func (u *inFlight) remove(e *execution) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.executions, e)
}

// Resumed has requests that came before a suspension of the machine end by their deadlines as their callers count them.
func (g *Gateway) Resumed(slept time.Duration) {
	g.inFlight.mu.Lock()
	defer g.inFlight.mu.Unlock()
	for e := range g.inFlight.executions {
		e.slept.Add(int64(slept))
		if !time.Now().Before(e.deadline()) {
			e.cancel(errSuspended)
		}
	}
}

// deadline gives when the answer must be on its way, by the steady clock: earlier by what the machine slept.
func (e *execution) deadline() time.Time {
	return e.request.deadline.Add(-time.Duration(e.slept.Load()))
}

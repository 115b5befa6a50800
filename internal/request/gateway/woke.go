package gateway

import (
	"errors"
	"sync"
	"time"
)

// errOverslept ends the work on a request whose deadline passed while the machine was suspended. Timers and deadlines
// stand still meanwhile: without it the caller, if there still is one, would be held for as long again, and leafs would
// be given time that the caller does not have.
var errOverslept = errors.New("the machine was suspended beyond the request's deadline")

// underWay are the requests that are being worked on; safe for concurrent use. The zero value is empty.
type underWay struct {
	mu    sync.Mutex
	works map[*gathering]struct{}
}

func (u *underWay) add(w *gathering) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.works == nil {
		u.works = map[*gathering]struct{}{}
	}
	u.works[w] = struct{}{}
}

func (u *underWay) remove(w *gathering) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.works, w)
}

// Resumed has requests that came before a suspension of the machine end by their deadlines as their callers count them.
func (g *Gateway) Resumed(slept time.Duration) {
	g.underWay.mu.Lock()
	defer g.underWay.mu.Unlock()
	for w := range g.underWay.works {
		w.slept.Add(int64(slept))
		if !time.Now().Before(w.deadline()) {
			w.cancel(errOverslept)
		}
	}
}

// deadline gives when the answer must be on its way, by the steady clock: earlier by what the machine slept.
func (w *gathering) deadline() time.Time {
	return w.query.deadline.Add(-time.Duration(w.slept.Load()))
}

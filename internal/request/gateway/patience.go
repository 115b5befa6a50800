package gateway

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/routing"
)

// callerTimeouts learns how long callers of a route wait in all, so that a caller that comes
// with less is known to have spent time already: on a connection, or on an earlier try. It is
// safe for concurrent use.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*commonTimeout
}

// commonTimeout is the longest patience seen lately, and how often it was seen.
type commonTimeout struct {
	longest time.Duration
	seen    int
	since   time.Time
}

// Bounds of what is learnt: only a patience seen a few times counts, and one not seen for a
// while is forgotten.
const (
	minimumSightings     = 5
	timeoutMemory        = time.Minute
	maximumTimeoutRoutes = 4096
)

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{routes: map[string]*commonTimeout{}}
}

// spent estimates how much of its time a caller has spent before the request came.
func (b *callerTimeouts) spent(entry *routing.Entry, timeout time.Duration) time.Duration {
	key := entry.Host + entry.Prefix
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	common, found := b.routes[key]
	if !found || now.Sub(common.since) > timeoutMemory {
		if len(b.routes) >= maximumTimeoutRoutes {
			clear(b.routes)
		}
		common = &commonTimeout{}
		b.routes[key] = common
	}
	switch {
	case timeout > common.longest:
		*common = commonTimeout{longest: timeout, seen: 1, since: now}
	case timeout == common.longest:
		common.seen++
		common.since = now
	}
	if common.seen < minimumSightings {
		return 0
	}
	return common.longest - timeout
}

package gateway

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/routing"
)

// callerTimeouts learns the timeout with which callers of each route start. A caller that sends a shorter one has
// already spent the difference, on opening a connection or on an earlier attempt. It is safe for concurrent use.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*longestTimeout // by host and prefix
}

// longestTimeout is the longest recent timeout of a route's callers, and how often it was seen.
type longestTimeout struct {
	longest  time.Duration
	seen     int
	lastSeen time.Time
}

const (
	// minimumObservations is how often a timeout must be seen to count, so that a single caller has no effect.
	minimumObservations = 5
	// timeoutRetention is how long a timeout counts after it was last seen.
	timeoutRetention = time.Minute
	// maximumTimeoutRoutes bounds the routes that are stored. When it is reached, all are dropped and learned again.
	maximumTimeoutRoutes = 4096
)

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{routes: map[string]*longestTimeout{}}
}

// spent estimates how much of its timeout a caller had spent before the request arrived.
func (t *callerTimeouts) spent(route *routing.Entry, timeout time.Duration) time.Duration {
	key := route.Host + route.Prefix
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	stored, found := t.routes[key]
	if !found || now.Sub(stored.lastSeen) > timeoutRetention {
		if len(t.routes) >= maximumTimeoutRoutes {
			clear(t.routes)
		}
		stored = &longestTimeout{}
		t.routes[key] = stored
	}
	switch {
	case timeout > stored.longest:
		*stored = longestTimeout{longest: timeout, seen: 1, lastSeen: now}
	case timeout == stored.longest:
		stored.seen++
		stored.lastSeen = now
	}
	if stored.seen < minimumObservations {
		return 0
	}
	return stored.longest - timeout
}

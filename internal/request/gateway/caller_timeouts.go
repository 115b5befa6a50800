package gateway

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/routing"
)

// callerTimeouts learns the timeout that callers of each route start with. A caller that sends a shorter one has spent
// the difference already, on a connection or on sending the request before. It is safe for concurrent use.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*commonTimeout // by host and prefix
}

// commonTimeout is the longest recent timeout of a route's callers, and how often it was seen.
type commonTimeout struct {
	longest  time.Duration
	seen     int
	lastSeen time.Time
}

const (
	// minimumSightings is how often a timeout must be seen to count, so that a single caller decides nothing.
	minimumSightings = 5
	// timeoutMemory is after how long without a sighting a timeout is forgotten.
	timeoutMemory = time.Minute
	// maximumTimeoutRoutes bounds the routes that are kept; beyond it all are learned again.
	maximumTimeoutRoutes = 4096
)

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{routes: map[string]*commonTimeout{}}
}

// spent estimates how much of its timeout a caller has spent before the request arrived.
func (t *callerTimeouts) spent(route *routing.Entry, timeout time.Duration) time.Duration {
	key := route.Host + route.Prefix
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	common, found := t.routes[key]
	if !found || now.Sub(common.lastSeen) > timeoutMemory {
		if len(t.routes) >= maximumTimeoutRoutes {
			clear(t.routes)
		}
		common = &commonTimeout{}
		t.routes[key] = common
	}
	switch {
	case timeout > common.longest:
		*common = commonTimeout{longest: timeout, seen: 1, lastSeen: now}
	case timeout == common.longest:
		common.seen++
		common.lastSeen = now
	}
	if common.seen < minimumSightings {
		return 0
	}
	return common.longest - timeout
}

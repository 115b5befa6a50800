package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/node/telemetry"
)

const (
	// rejectedLogInterval is the minimum time between two log lines for a key: a broken writer may write many times per
	// second, and each whole state read from the store repeats the value.
	rejectedLogInterval = time.Minute
	// maxRejectedKeys bounds the stored keys; further keys are not logged until some have expired.
	maxRejectedKeys = 256
)

// rejectedValues logs values of the store that can't be decoded, with key, field and reason.
type rejectedValues struct {
	metrics *telemetry.Metrics
	logger  *zap.Logger

	mu     sync.Mutex
	logged map[string]time.Time // time of the last log line, by key
}

// reject counts a rejected value and logs it, at most once per key and rejectedLogInterval.
func (r *rejectedValues) reject(key string, err error) {
	r.metrics.ConfigRejected.Inc()
	if r.isDue(key, time.Now()) {
		r.logger.Error("a stored value is invalid and was rejected; a leaf whose record is invalid counts as removed, for any other key the last valid value stays in force", zap.String("key", key), zap.Error(err))
	}
}

// isDue reports whether a key must be logged now, and stores the time if so.
func (r *rejectedValues) isDue(key string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logged == nil {
		r.logged = map[string]time.Time{}
	}
	for loggedKey, at := range r.logged {
		if now.Sub(at) >= rejectedLogInterval {
			delete(r.logged, loggedKey)
		}
	}
	if _, isLogged := r.logged[key]; isLogged || len(r.logged) >= maxRejectedKeys {
		return false
	}
	r.logged[key] = now
	return true
}

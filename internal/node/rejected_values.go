package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/node/telemetry"
)

const (
	// rejectedLogInterval is how often at most a key is logged: a broken writer may write many times a second, and every
	// whole state read from the store repeats the value.
	rejectedLogInterval = time.Minute
	// maxRejectedKeys bounds the keys that are remembered; beyond it nothing is logged until some have expired.
	maxRejectedKeys = 256
)

// rejectedValues logs values of the store that can't be put into force, with key, field and reason.
type rejectedValues struct {
	metrics *telemetry.Metrics
	logger  *zap.Logger

	mu     sync.Mutex
	logged map[string]time.Time // by key
}

// reject counts a value and logs it, each key once per rejectedLogInterval.
func (r *rejectedValues) reject(key string, err error) {
	r.metrics.ConfigRejected.Inc()
	if r.isDue(key, time.Now()) {
		r.logger.Error("stored value can't be put into force", zap.String("key", key), zap.Error(err))
	}
}

// isDue reports whether a key is to be logged now, and if so remembers it.
func (r *rejectedValues) isDue(key string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logged == nil {
		r.logged = map[string]time.Time{}
	}
	for known, at := range r.logged {
		if now.Sub(at) >= rejectedLogInterval {
			delete(r.logged, known)
		}
	}
	if _, isLogged := r.logged[key]; isLogged || len(r.logged) >= maxRejectedKeys {
		return false
	}
	r.logged[key] = now
	return true
}

package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/node/telemetry"
)

const (
	// refusedAgain is how long a key of which a line told isn't told of again: whoever writes what can't be read may do so
	// many times a second, and each whole state holds it once more.
	refusedAgain = time.Minute
	// mostRefused bounds the keys that are remembered so; beyond it nothing is told until some are a minute old.
	mostRefused = 256
)

// refusals tells of values of the store that can't be put into force, with the key, the field and the reason.
type refusals struct {
	metrics *telemetry.Metrics
	logger  *zap.Logger

	mu   sync.Mutex
	told map[string]time.Time
}

// refuse counts a value and tells of it, each key once a minute.
func (r *refusals) refuse(key string, err error) {
	r.metrics.ConfigRejected.Inc()
	if r.isNews(key, time.Now()) {
		r.logger.Error("stored value can't be put into force", zap.String("key", key), zap.Error(err))
	}
}

// isNews reports whether a key is to be told of at a time, and notes that it is.
func (r *refusals) isNews(key string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.told == nil {
		r.told = map[string]time.Time{}
	}
	for known, at := range r.told {
		if now.Sub(at) >= refusedAgain {
			delete(r.told, known)
		}
	}
	if _, isTold := r.told[key]; isTold || len(r.told) >= mostRefused {
		return false
	}
	r.told[key] = now
	return true
}

package quarantine

import (
	"time"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// retestRequestInterval is the interval at which a retest is requested until it is permitted. retestPermitTTL is the
// time for which a permit is valid.
const (
	retestRequestInterval = 5 * time.Second
	retestPermitTTL       = 30 * time.Second
)

// retestState is the state of a stored record's retests at this node.
type retestState struct {
	revision int64
	since    time.Time // when this node first used the revision
	// requestedAt is the time of the last request for a retest, zero if there was none. permittedAt is the time of the
	// permit, zero if there is none or it has been used.
	requestedAt time.Time
	permittedAt time.Time
}

// findOrAddRetest returns the retest state of a stored record, and adds it if there is none. r.mu must be held.
func (r *Register) findOrAddRetest(record *Record) *retestState {
	state, found := r.retestStates[record.Fingerprint]
	if !found {
		if len(r.retestStates) >= 2*r.cfg.MaxRecords {
			clear(r.retestStates)
		}
		state = &retestState{}
		r.retestStates[record.Fingerprint] = state
	}
	if state.revision != record.Revision {
		// A permit remains valid: the new revision was written to grant it.
		state.revision, state.since, state.requestedAt = record.Revision, r.clock.Now(), time.Time{}
	}
	return state
}

// isRetestDue decides whether this node requests a retest, one execution at one leaf, for a quarantined request that
// arrived again: its delay has passed, fewer than Config.MaxRetests were run, and none was requested within
// retestRequestInterval. Only stored records are retested, because the store's compare-and-swap selects the one node
// that may run the retest. r.mu must be held.
func (r *Register) isRetestDue(record *Record) bool {
	if record.Revision == 0 || record.Retests >= r.cfg.MaxRetests {
		return false
	}
	state, now := r.findOrAddRetest(record), r.clock.Now()
	if now.Sub(state.since) < r.cfg.delayAfter(record.Retests) || now.Sub(state.requestedAt) < retestRequestInterval {
		return false
	}
	state.requestedAt = now
	return true
}

// takePermit reports whether a retest is permitted, and uses the permit. r.mu must be held.
func (r *Register) takePermit(record *Record) bool {
	state, found := r.retestStates[record.Fingerprint]
	if !found || state.permittedAt.IsZero() {
		return false
	}
	isPermitted := r.clock.Since(state.permittedAt) < retestPermitTTL
	state.permittedAt = time.Time{}
	return isPermitted
}

// PermitRetest permits the next execution of a quarantined request at one leaf, within retestPermitTTL.
func (r *Register) PermitRetest(content fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, found := r.retestStates[content]; found {
		state.permittedAt = r.clock.Now()
	}
}

// RetryAfter returns the minimum time for which a quarantined request will be refused; 0 if it is not quarantined, or
// if only an operator can lift the quarantine.
func (r *Register) RetryAfter(content fingerprint.Fingerprint) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.recordOf(content)
	switch {
	case record == nil:
		return 0
	case record.Revision == 0:
		return r.cfg.RetestAfter - r.clock.Since(r.unsaved[content].since)
	case record.Retests >= r.cfg.MaxRetests:
		return 0
	}
	return max(retestRequestInterval, r.cfg.delayAfter(record.Retests)-r.clock.Since(r.findOrAddRetest(record).since))
}

// delayAfter returns the delay before the next retest after the given number of retests: RetestAfter, multiplied by
// RetestBackoffFactor for each of them.
func (c Config) delayAfter(retests int) time.Duration {
	delay := c.RetestAfter
	for range retests {
		delay *= time.Duration(c.RetestBackoffFactor)
	}
	return delay
}

package quarantine

import (
	"time"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// retestRequestInterval is the pause between requests for a retest that were not granted. retestPermitTTL is how long a
// permit is valid.
const (
	retestRequestInterval = 5 * time.Second
	retestPermitTTL       = 30 * time.Second
)

// retestState is how long a stored record has been known here.
type retestState struct {
	revision int64
	since    time.Time
	// requestedAt is when a retest was last requested, permittedAt when one was permitted; zero if not, or once used.
	requestedAt time.Time
	permittedAt time.Time
}

// retestOf returns the retest state of a stored record. The lock must be held.
func (r *Register) retestOf(record *Record) *retestState {
	known, isKnown := r.retestStates[record.Content]
	if !isKnown {
		if len(r.retestStates) >= 2*r.cfg.MaximumRecords {
			clear(r.retestStates)
		}
		known = &retestState{}
		r.retestStates[record.Content] = known
	}
	if known.revision != record.Revision {
		// A permit stays: it is what the new revision was written for.
		known.revision, known.since, known.requestedAt = record.Revision, r.clock.Now(), time.Time{}
	}
	return known
}

// isRetestDue decides whether a retest, one execution at one leaf, is to be requested for a quarantined request that
// arrived again: its delay is over, Config.MaximumRetests is not used up, and none was requested for
// retestRequestInterval. Only stored
// records have retests, because the store's compare-and-swap selects the one node that may run it. The lock must be
// held.
func (r *Register) isRetestDue(record *Record) bool {
	if record.Revision == 0 || record.Retests >= r.cfg.MaximumRetests {
		return false
	}
	known, now := r.retestOf(record), r.clock.Now()
	if now.Sub(known.since) < r.cfg.delayAfter(record.Retests) || now.Sub(known.requestedAt) < retestRequestInterval {
		return false
	}
	known.requestedAt = now
	return true
}

// takePermit reports whether a retest is permitted, and uses the permit. The lock must be held.
func (r *Register) takePermit(record *Record) bool {
	known, isKnown := r.retestStates[record.Content]
	if !isKnown || known.permittedAt.IsZero() {
		return false
	}
	isPermitted := r.clock.Since(known.permittedAt) < retestPermitTTL
	known.permittedAt = time.Time{}
	return isPermitted
}

// PermitRetest lets the next execution of a quarantined request go to one leaf, within retestPermitTTL.
func (r *Register) PermitRetest(content fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, isKnown := r.retestStates[content]; isKnown {
		known.permittedAt = r.clock.Now()
	}
}

// RetryAfter returns for how long a quarantined request will at least be refused; 0 if it is not quarantined, or only
// an operator can lift the quarantine.
func (r *Register) RetryAfter(content fingerprint.Fingerprint) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.recordOf(content)
	switch {
	case record == nil:
		return 0
	case record.Revision == 0:
		return r.cfg.RetestAfter - r.clock.Since(r.unsaved[content].since)
	case record.Retests >= r.cfg.MaximumRetests:
		return 0
	}
	return max(retestRequestInterval, r.cfg.delayAfter(record.Retests)-r.clock.Since(r.retestOf(record).since))
}

// delayAfter returns how long a request is refused after the given number of retests: RetestAfter, multiplied by
// RetestBackoffFactor for each.
func (c Config) delayAfter(retests int) time.Duration {
	delay := c.RetestAfter
	for range retests {
		delay *= time.Duration(c.RetestBackoffFactor)
	}
	return delay
}

package quarantine

import (
	"time"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// trialPause is the pause between requests for a trial that were not granted, trialPermit how long a permit is valid.
const (
	trialPause  = 5 * time.Second
	trialPermit = 30 * time.Second
)

// term is how long a stored record has been known here.
type term struct {
	revision int64
	since    time.Time
	// askedAt is when a trial was last requested, permittedAt when one was permitted; zero if not, or once used.
	askedAt     time.Time
	permittedAt time.Time
}

// termOf returns the term of a stored record. The lock must be held.
func (r *Register) termOf(record *Record) *term {
	known, isKnown := r.terms[record.Content]
	if !isKnown {
		if len(r.terms) >= 2*r.cfg.MaximumRecords {
			clear(r.terms)
		}
		known = &term{}
		r.terms[record.Content] = known
	}
	if known.revision != record.Revision {
		// A permit stays: it is what the new revision was written for.
		known.revision, known.since, known.askedAt = record.Revision, r.clock.Now(), time.Time{}
	}
	return known
}

// isTrialDue decides whether a trial, one execution at one leaf, is to be requested for a quarantined request that
// arrived again: its term is over, Config.Trials is not used up, and none was requested for trialPause. Only stored
// records have trials, because the store's compare-and-swap selects the one node that may run it. The lock must be
// held.
func (r *Register) isTrialDue(record *Record) bool {
	if record.Revision == 0 || record.Trials >= r.cfg.Trials {
		return false
	}
	known, now := r.termOf(record), r.clock.Now()
	if now.Sub(known.since) < r.cfg.termOf(record.Trials) || now.Sub(known.askedAt) < trialPause {
		return false
	}
	known.askedAt = now
	return true
}

// takePermit reports whether a trial is permitted, and uses the permit. The lock must be held.
func (r *Register) takePermit(record *Record) bool {
	known, isKnown := r.terms[record.Content]
	if !isKnown || known.permittedAt.IsZero() {
		return false
	}
	isPermitted := r.clock.Since(known.permittedAt) < trialPermit
	known.permittedAt = time.Time{}
	return isPermitted
}

// PermitTrial lets the next execution of a quarantined request go to one leaf, within trialPermit.
func (r *Register) PermitTrial(content fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, isKnown := r.terms[content]; isKnown {
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
		return r.cfg.Term - r.clock.Since(r.unsaved[content].since)
	case record.Trials >= r.cfg.Trials:
		return 0
	}
	return max(trialPause, r.cfg.termOf(record.Trials)-r.clock.Since(r.termOf(record).since))
}

// termOf returns how long a request is refused after the given number of trials: Term, Lengthening times longer after
// each.
func (c Config) termOf(trials int) time.Duration {
	term := c.Term
	for range trials {
		term *= time.Duration(c.Lengthening)
	}
	return term
}

package canary

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/rollout"
)

// stage is how far this node has moved its requests to the canary of a spec.
type stage int

const (
	// stopped means that no canary receives requests: there is none, its spec is aborted, or its duration has ended.
	stopped stage = iota
	// bounded means that the canary receives the bounded share, and only first attempts.
	bounded
	// ramping means that requests are moving to the canary.
	ramping
	// moved means that the canary receives all requests, and the previous version none.
	moved
)

// stageNow returns the current stage of the spec of a service.
func (s *Splitter) stageNow(service string) stage {
	if s.catalog.View().Leafs.Rule(service).Canary == "" {
		return stopped
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	rule := view.Leafs.Rule(service)
	if rule.Canary == "" {
		return stopped
	}
	return s.stage(service, rule, s.budget(view, service, rule), s.now())
}

// stage returns this node's stage of a spec. An aborted spec is stopped, and so is an undecided one after its duration,
// counted from when this node learned of it. In PhaseSwitching the canary ramps up and then receives all requests, but
// only while the configuration was confirmed within ConfirmedWithin: otherwise the verdict may have been revoked, and
// the bound applies again. s.mu must be held.
func (s *Splitter) stage(service string, rule rollout.Rule, budget *budget, now time.Time) stage {
	switch {
	case rule.SpecID <= s.aborts[service]:
		return stopped
	case rule.Phase == rollout.PhaseSwitching && now.Sub(s.catalog.ConfirmedAt()) <= s.cfg.ConfirmedWithin:
		if now.Sub(budget.switchedAt) < s.Ramp(budget.duration) {
			return ramping
		}
		return moved
	case budget.isOver(now):
		return stopped
	}
	return bounded
}

// Ramp returns how long the nodes take to move all requests, for a spec with the given duration.
func (s *Splitter) Ramp(duration time.Duration) time.Duration {
	return min(s.cfg.Ramp, time.Duration(rampFraction*float64(duration)))
}

// ramp returns the fraction of the requests that goes to the canary during the ramp. It rises from Share to 1.
func (s *Splitter) ramp(budget *budget, now time.Time) float64 {
	progress := float64(now.Sub(budget.switchedAt)) / float64(s.Ramp(budget.duration))
	return s.cfg.Share + (1-s.cfg.Share)*progress
}

// maxAborts bounds the services with a stored abort. It is far above the number of simultaneous rollouts.
const maxAborts = 4096

// Abort permanently stops the canary version of a spec, whatever the phase in the configuration.
func (s *Splitter) Abort(service string, specID int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldAborts()
	if len(s.aborts) < maxAborts || s.aborts[service] > 0 {
		s.aborts[service] = max(s.aborts[service], specID)
	}
}

// dropOldAborts drops aborts of specs that were replaced or withdrawn. It keeps aborts of specs that this node has not
// learned of yet, except after a restore of the store, which reuses the IDs of lost specs. s.mu must be held.
func (s *Splitter) dropOldAborts() {
	view := s.view()
	isRestored := s.abortsRevision != 0 && revision.IsLater(view.Revision, s.abortsRevision)
	s.abortsRevision = view.Revision
	for service, specID := range s.aborts {
		if (isRestored || specID <= revision.Count(view.Revision)) && view.Leafs.Rule(service).SpecID != specID {
			delete(s.aborts, service)
		}
	}
}

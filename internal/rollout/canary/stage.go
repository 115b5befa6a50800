package canary

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/rollout"
)

// stage is how far this node is with a spec.
type stage int

// The stages.
const (
	// stopped means that the canary version gets nothing: there is none, its spec is aborted, or its time is over.
	stopped stage = iota
	// bounded means that it gets the bounded share, of first attempts only.
	bounded
	// ramping means that requests move to it.
	ramping
	// moved means that it gets everything, the version that served nothing.
	moved
)

// stageNow returns the stage of the spec of a service.
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

// stage decides how far this node is with a spec, by the spec's phase, the time since this node learned of it, and
// the time since the configuration was confirmed as the newest. An aborted spec is stopped. A version found good ramps
// up and then gets everything, but only while the configuration was confirmed within ConfirmedWithin: otherwise the
// verdict may have been revoked, and the bound applies again. After the spec's duration an undecided version gets
// nothing. The lock must be held.
func (s *Splitter) stage(service string, rule rollout.Rule, budget *budget, now time.Time) stage {
	switch {
	case rule.SpecID <= s.aborts[service]:
		return stopped
	case rule.Phase == rollout.Switching && now.Sub(s.catalog.ConfirmedAt()) <= s.cfg.ConfirmedWithin:
		if now.Sub(budget.switchedAt) < s.Ramp(budget.duration) {
			return ramping
		}
		return moved
	case budget.isOver(now):
		return stopped
	}
	return bounded
}

// Ramp returns how long the nodes take to move the requests of a spec of a duration to a version found good.
func (s *Splitter) Ramp(duration time.Duration) time.Duration {
	return min(s.cfg.Ramp, time.Duration(rampFraction*float64(duration)))
}

// ramp returns the part of the requests, rising from Share to 1, that goes to a version found good.
func (s *Splitter) ramp(budget *budget, now time.Time) float64 {
	over := float64(now.Sub(budget.switchedAt)) / float64(s.Ramp(budget.duration))
	return s.cfg.Share + (1-s.cfg.Share)*over
}

// maxAborts bounds the services whose aborts are kept, well above those that a fleet moves at once.
const maxAborts = 4096

// Abort stops the canary version of a spec for good, whatever the configuration says about it.
func (s *Splitter) Abort(service string, specID int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldAborts()
	if len(s.aborts) < maxAborts || s.aborts[service] > 0 {
		s.aborts[service] = max(s.aborts[service], specID)
	}
}

// dropOldAborts drops aborts of specs that were replaced or withdrawn. Aborts of specs that this node has not learned
// of yet stay, except after a restore of the store, when lost specs' ids are given to others. The lock must be held.
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

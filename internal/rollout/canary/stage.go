package canary

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/rollout"
)

// stage is how far this node is with an order.
type stage int

// The stages.
const (
	// stopped gives the version on trial nothing: there is none, its order is held, or its time is over.
	stopped stage = iota
	// bounded gives it the bounded share, of first attempts only.
	bounded
	// ramping moves requests to it.
	ramping
	// moved gives it everything, and the version that served nothing.
	moved
)

// stageNow gives how far this node is with the order of a service.
func (s *Splitter) stageNow(service string) stage {
	if s.catalog.View().Leafs.Rule(service).Trial == "" {
		return stopped
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	rule := view.Leafs.Rule(service)
	if rule.Trial == "" {
		return stopped
	}
	return s.stage(service, rule, s.trial(view, service, rule), s.now())
}

// stage gives how far this node is with an order. A version that was found good goes by the bound again while the
// configuration was not confirmed lately: it may have been taken back. The lock must be held.
func (s *Splitter) stage(service string, rule rollout.Rule, known *trial, now time.Time) stage {
	switch {
	case rule.Order <= s.holds[service]:
		return stopped
	case rule.Phase == rollout.Switching && now.Sub(s.catalog.ConfirmedAt()) <= s.config.ConfirmedWithin:
		if now.Sub(known.switched) < s.Ramp(known.duration) {
			return ramping
		}
		return moved
	case known.isOver(now):
		return stopped
	}
	return bounded
}

// Ramp gives how long the nodes take to move the requests of an order of a duration to a version found good.
func (s *Splitter) Ramp(duration time.Duration) time.Duration {
	return min(s.config.Ramp, time.Duration(rampPart*float64(duration)))
}

// ramp gives the part of the requests that goes to a version found good.
func (s *Splitter) ramp(known *trial, now time.Time) float64 {
	over := float64(now.Sub(known.switched)) / float64(s.Ramp(known.duration))
	return s.config.Share + (1-s.config.Share)*over
}

// mostHeld bounds the services whose holds are kept, far above those that a fleet moves at once.
const mostHeld = 4096

// Hold stops the version on trial by an order for good, whatever the configuration says of it.
func (s *Splitter) Hold(service string, order int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropHolds()
	if len(s.holds) < mostHeld || s.holds[service] > 0 {
		s.holds[service] = max(s.holds[service], order)
	}
}

// dropHolds forgets holds of orders that were replaced or taken back; those that this node has yet to learn of stay. After a
// restore of the store there are none of those: orders that were lost have ids that others get. The lock must be held.
func (s *Splitter) dropHolds() {
	view := s.view()
	isRestored := s.heldAt != 0 && revision.IsLater(view.Revision, s.heldAt)
	s.heldAt = view.Revision
	for service, order := range s.holds {
		if (isRestored || order <= revision.Count(view.Revision)) && view.Leafs.Rule(service).Order != order {
			delete(s.holds, service)
		}
	}
}

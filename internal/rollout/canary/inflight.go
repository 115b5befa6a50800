package canary

import (
	"sync"

	"github.com/portgauge/portgauge/internal/rollout"
)

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// inFlight counts the attempts in flight by version. The zero value is ready to use. Versions without attempts are not
// stored.
type inFlight struct {
	mu     sync.Mutex
	counts map[versionKey]int
}

// AttemptStarted counts an attempt as in flight. It must be called before MaySend is called for the attempt.
func (s *Splitter) AttemptStarted(service, version string) {
	s.inFlight.add(versionKey{service, version}, 1)
}

// AttemptEnded counts an attempt as no longer in flight.
func (s *Splitter) AttemptEnded(service, version string) {
	s.inFlight.add(versionKey{service, version}, -1)
}

func (f *inFlight) add(key versionKey, delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[versionKey]int{}
	}
	if f.counts[key] += delta; f.counts[key] == 0 {
		delete(f.counts, key)
	}
}

// anyExcept reports whether attempts are in flight at leafs of a service of any version but the given one.
func (f *inFlight) anyExcept(service, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.counts {
		if key.service == service && key.version != version {
			return true
		}
	}
	return false
}

// SettledRevision returns the revision up to which this node is settled: it sends no requests under older rules and has
// none in flight. For each version that passed evaluation the ramp must have ended, and no attempt may be in flight at
// leafs of the previous version. If all rules are settled, that is the revision in force. Otherwise it is one less than
// the lowest revision that is not settled.
func (s *Splitter) SettledRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	settled := view.Revision
	for service := range view.Rollouts {
		rule := view.Leafs.Rule(service)
		if rule.Phase == rollout.PhaseSwitching && !s.isSettled(service, rule, s.budget(view, service, rule)) {
			settled = min(settled, rule.Revision-1)
		}
	}
	return settled
}

// isSettled reports whether no request of a service is sent to, or in flight at, the previous version. Attempts are
// counted before MaySend is checked, so that none can start uncounted after the ramp. s.mu must be held.
func (s *Splitter) isSettled(service string, rule rollout.Rule, budget *budget) bool {
	return s.stage(service, rule, budget, s.now()) == moved && !s.inFlight.anyExcept(service, rule.Canary)
}

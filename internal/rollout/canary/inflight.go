package canary

import (
	"sync"

	"github.com/portgauge/portgauge/internal/rollout"
)

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// inFlight counts the attempts in flight; the zero value counts none. Only versions with any are kept.
type inFlight struct {
	mu     sync.Mutex
	counts map[versionKey]int
}

// AttemptStarted counts an attempt that is about to be made. It must be called before MaySend is checked for it.
func (s *Splitter) AttemptStarted(service, version string) {
	s.inFlight.add(versionKey{service, version}, 1)
}

// AttemptEnded ends the count of an attempt.
func (s *Splitter) AttemptEnded(service, version string) {
	s.inFlight.add(versionKey{service, version}, -1)
}

func (f *inFlight) add(key versionKey, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[versionKey]int{}
	}
	if f.counts[key] += by; f.counts[key] == 0 {
		delete(f.counts, key)
	}
}

// anyBeside reports whether attempts are in flight at leafs of a service that are not of the given version.
func (f *inFlight) anyBeside(service, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.counts {
		if key.service == service && key.version != version {
			return true
		}
	}
	return false
}

// SettledRevision returns the revision in force if this node sends nothing by an older rule any more and has nothing
// in flight by one: for each version found good the ramp has ended, and no attempt is in flight at leafs of the
// version that served before. Otherwise it returns one less than the lowest revision that is not settled.
func (s *Splitter) SettledRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	settled := view.Revision
	for service := range view.Rollouts {
		rule := view.Leafs.Rule(service)
		if rule.Phase == rollout.Switching && !s.isSettled(service, rule, s.budget(view, service, rule)) {
			settled = min(settled, rule.Revision-1)
		}
	}
	return settled
}

// isSettled reports whether nothing of a service goes to, or is in flight at, the version that served. Attempts are
// counted before their last check, so that none can begin after the ramp has ended. The lock must be held.
func (s *Splitter) isSettled(service string, rule rollout.Rule, budget *budget) bool {
	return s.stage(service, rule, budget, s.now()) == moved && !s.inFlight.anyBeside(service, rule.Canary)
}

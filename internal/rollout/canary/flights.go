package canary

import (
	"sync"

	"github.com/portgauge/portgauge/internal/rollout"
)

// flight is what attempts are counted by.
type flight struct{ service, version string }

// flights counts the attempts under way; the zero value counts none. Only versions with any are kept.
type flights struct {
	mu     sync.Mutex
	counts map[flight]int
}

// AttemptStarted counts an attempt in that is about to be made, before MayAsk is asked for it.
func (s *Splitter) AttemptStarted(service, version string) {
	s.flights.add(flight{service, version}, 1)
}

// AttemptEnded counts an attempt out.
func (s *Splitter) AttemptEnded(service, version string) { s.flights.add(flight{service, version}, -1) }

func (f *flights) add(key flight, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[flight]int{}
	}
	if f.counts[key] += by; f.counts[key] == 0 {
		delete(f.counts, key)
	}
}

// anyBeside reports whether attempts are under way at other leafs of a service than those of a version.
func (f *flights) anyBeside(service, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.counts {
		if key.service == service && key.version != version {
			return true
		}
	}
	return false
}

// SettledRevision gives the revision in force if this node sends nothing by an older rule any more and has nothing
// under way by one: of each version that was found good it has ended the ramp, and no attempt is under way at the
// leafs of the version that served before. Else it gives one less than the least revision that is not settled.
func (s *Splitter) SettledRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	settled := view.Revision
	for service := range view.Rollouts {
		rule := view.Leafs.Rule(service)
		if rule.Phase == rollout.Switching && !s.isSettled(service, rule, s.trial(view, service, rule)) {
			settled = min(settled, rule.Revision-1)
		}
	}
	return settled
}

// isSettled reports whether a service has nothing more with the version that served. Attempts are counted in before
// they are checked a last time, so that none can begin once the ramp has ended. The lock must be held.
func (s *Splitter) isSettled(service string, rule rollout.Rule, known *trial) bool {
	return s.stage(service, rule, known, s.now()) == moved && !s.flights.anyBeside(service, rule.Trial)
}

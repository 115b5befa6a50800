package rolloutcontrol

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/portgauge/portgauge/internal/rollout"
)

// Status is the status of an active rollout at a node.
type Status struct {
	Service string
	// Phase is PhaseCanary before the first state is written.
	Phase   rollout.Phase
	Serving string
	Target  string
	// Counts are the counts reported to this node, empty if it does not evaluate the service.
	Counts []RouteCounts
}

// statusSnapshot holds the latest statuses. The zero value is empty. It is safe for concurrent use.
type statusSnapshot struct{ last atomic.Pointer[[]Status] }

func (s *statusSnapshot) set(rollouts map[string]*activeRollout) {
	found := make([]Status, 0, len(rollouts))
	for service, active := range rollouts {
		phase := cmp.Or(active.phase(), rollout.PhaseCanary)
		found = append(found, Status{Service: service, Phase: phase, Serving: active.serving, Target: active.spec.Target, Counts: countRoutes(active.rows)})
	}
	slices.SortFunc(found, func(a, b Status) int { return strings.Compare(a.Service, b.Service) })
	s.last.Store(&found)
}

func (s *statusSnapshot) get() []Status {
	if last := s.last.Load(); last != nil {
		return *last
	}
	return nil
}

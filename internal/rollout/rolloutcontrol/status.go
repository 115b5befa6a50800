package rolloutcontrol

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// Status is a roll-out under way as a node sees it.
type Status struct {
	Service string
	// Phase is Canary also before the first state.
	Phase   rollout.Phase
	Serving string
	Target  string
	// Counts are those of all nodes that told this one; empty where it does not judge the service.
	Counts []RouteCounts
}

// RouteCounts are the attempts at a version for a route.
type RouteCounts struct {
	Version  string
	Route    string
	Attempts int64
	Failures int64
}

// countRoutes adds rows up by version and route, in that order.
func countRoutes(rows []evidence.Row) []RouteCounts {
	var counts []RouteCounts
	for _, row := range rows {
		isSame := func(one RouteCounts) bool { return one.Version == row.Version && one.Route == row.Route }
		at := slices.IndexFunc(counts, isSame)
		if at < 0 {
			at = len(counts)
			counts = append(counts, RouteCounts{Version: row.Version, Route: row.Route})
		}
		counts[at].Attempts += row.Attempts()
		counts[at].Failures += row.Failures
	}
	slices.SortFunc(counts, func(a, b RouteCounts) int {
		return cmp.Or(strings.Compare(a.Version, b.Version), strings.Compare(a.Route, b.Route))
	})
	return counts
}

// statusSnapshot are the roll-outs under way as they were found last; the zero value has none.
type statusSnapshot struct{ last atomic.Pointer[[]Status] }

func (s *statusSnapshot) set(trials map[string]*activeOrder) {
	found := make([]Status, 0, len(trials))
	for service, t := range trials {
		phase := cmp.Or(t.phase(), rollout.Canary)
		found = append(found, Status{Service: service, Phase: phase, Serving: t.serving, Target: t.order.Target, Counts: countRoutes(t.rows)})
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

package telemetry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/rolloutcontrol"
)

// The series of a rollout must disappear when it has finished.
func TestFinishedRolloutHasNoSeries(t *testing.T) {
	is := is.New(t)
	statuses := []rolloutcontrol.Status{{
		Service: "s", Phase: rollout.PhaseCanary, Target: "b",
		Counts: []rolloutcontrol.RouteCounts{{Version: "b", Route: "r", Attempts: 3, Failures: 1}},
	}}
	metrics := NewMetrics()
	is.NoErr(metrics.RegisterRollouts(func() []rolloutcontrol.Status { return statuses }))
	values := func() map[string]float64 {
		families, err := metrics.Registry.Gather()
		is.NoErr(err)
		found := map[string]float64{}
		for _, family := range families {
			switch family.GetName() {
			case "portgauge_rollout_phase", "portgauge_rollout_attempts", "portgauge_rollout_failures":
				found[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
			}
		}
		return found
	}
	is.Equal(values(), map[string]float64{"portgauge_rollout_phase": 1, "portgauge_rollout_attempts": 3, "portgauge_rollout_failures": 1})
	statuses = nil
	is.Equal(len(values()), 0)
}

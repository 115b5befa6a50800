package telemetry

import (
	"testing"

	"github.com/matryer/is"
)

// The brief page must hold the product's own counters and gauges, and no zero values.
func TestBriefHasOnlyNonzeroProductMetrics(t *testing.T) {
	is := is.New(t)
	metrics := NewMetrics()
	metrics.LeafsLost.WithLabelValues("true").Add(3)
	metrics.LeafsLost.WithLabelValues("false")
	metrics.FrontLatency.WithLabelValues("whole").Observe(1)
	families, err := Brief{Whole: metrics.Registry}.Gather()
	is.NoErr(err)
	is.Equal(len(families), 1)
	is.Equal(families[0].GetName(), "portgauge_leafs_lost_total")
	is.Equal(len(families[0].Metric), 1)
	is.Equal(families[0].Metric[0].GetCounter().GetValue(), 3.0)
}

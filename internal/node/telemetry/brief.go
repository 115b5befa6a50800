package telemetry

import (
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// Brief gathers the nonzero counters and gauges of the product, without help texts. It is for collectors that keep only
// the first kilobytes of a page: the full page begins with 6 KB of metrics of the Go runtime.
type Brief struct {
	Whole prometheus.Gatherer
}

var _ prometheus.Gatherer = Brief{}

func (b Brief) Gather() ([]*dto.MetricFamily, error) {
	families, err := b.Whole.Gather()
	var brief []*dto.MetricFamily
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), namespace+"_") {
			continue
		}
		metrics := slices.DeleteFunc(slices.Clone(family.Metric), func(metric *dto.Metric) bool {
			return metric.GetCounter().GetValue() == 0 && metric.GetGauge().GetValue() == 0
		})
		if len(metrics) > 0 {
			brief = append(brief, &dto.MetricFamily{Name: family.Name, Type: family.Type, Metric: metrics})
		}
	}
	return brief, err
}

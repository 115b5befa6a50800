package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/portgauge/portgauge/internal/rollout/rolloutcontrol"
)

// rolloutCollector collects the rollouts in progress at each scrape, so that finished rollouts have no series. The
// number of series is bounded by the rollouts in progress, and by the versions and routes of those that this node
// evaluates.
type rolloutCollector struct {
	statuses func() []rolloutcontrol.Status
	phase    *prometheus.Desc
	attempts *prometheus.Desc
	failures *prometheus.Desc
}

var _ prometheus.Collector = (*rolloutCollector)(nil)

// RegisterRollouts adds the rollouts in progress to the metrics.
func (m *Metrics) RegisterRollouts(statuses func() []rolloutcontrol.Status) error {
	countLabels := []string{"service", "version", "route"}
	return m.Registry.Register(&rolloutCollector{
		statuses: statuses,
		phase:    prometheus.NewDesc(namespace+"_rollout_phase", "1 for the current phase of each rollout in progress.", []string{"service", "phase", "target"}, nil),
		attempts: prometheus.NewDesc(namespace+"_rollout_attempts", "Leaf attempts of all nodes in a rollout in progress; reported by its evaluator nodes.", countLabels, nil),
		failures: prometheus.NewDesc(namespace+"_rollout_failures", "Leaf attempts of all nodes in a rollout in progress that failed at the leaf; reported by its evaluator nodes.", countLabels, nil),
	})
}

func (c *rolloutCollector) Describe(described chan<- *prometheus.Desc) {
	described <- c.phase
	described <- c.attempts
	described <- c.failures
}

func (c *rolloutCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, status := range c.statuses() {
		metrics <- prometheus.MustNewConstMetric(c.phase, prometheus.GaugeValue, 1, status.Service, string(status.Phase), status.Target)
		for _, counts := range status.Counts {
			labels := []string{status.Service, counts.Version, counts.Route}
			metrics <- prometheus.MustNewConstMetric(c.attempts, prometheus.GaugeValue, float64(counts.Attempts), labels...)
			metrics <- prometheus.MustNewConstMetric(c.failures, prometheus.GaugeValue, float64(counts.Failures), labels...)
		}
	}
}

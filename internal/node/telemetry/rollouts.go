package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/portgauge/portgauge/internal/rollout/rolloutcontrol"
)

// rolloutCollector collects the roll-outs under way at each scrape, so that finished ones leave no series behind. Their
// number is bounded by the roll-outs under way, and by versions and routes of those that this node evaluates.
type rolloutCollector struct {
	statuses func() []rolloutcontrol.Status
	phase    *prometheus.Desc
	attempts *prometheus.Desc
	failures *prometheus.Desc
}

var _ prometheus.Collector = (*rolloutCollector)(nil)

// RegisterRollouts adds the roll-outs under way to the metrics.
func (m *Metrics) RegisterRollouts(statuses func() []rolloutcontrol.Status) error {
	counted := []string{"service", "version", "route"}
	return m.Registry.Register(&rolloutCollector{
		statuses: statuses,
		phase:    prometheus.NewDesc(namespace+"_rollout_phase", "1 for the phase of each roll-out under way.", []string{"service", "phase", "target"}, nil),
		attempts: prometheus.NewDesc(namespace+"_rollout_attempts", "Attempts of all nodes for a roll-out under way, at its judges.", counted, nil),
		failures: prometheus.NewDesc(namespace+"_rollout_failures", "Those of the attempts that the leaf itself failed.", counted, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *rolloutCollector) Describe(described chan<- *prometheus.Desc) {
	described <- c.phase
	described <- c.attempts
	described <- c.failures
}

// Collect implements prometheus.Collector.
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

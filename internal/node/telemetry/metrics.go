// Package telemetry provides the metrics and the logger of a node.
//
// It owns the Prometheus registry. The names and labels of metrics are an interface to operators and don't change.
// Latencies are in seconds. Metrics of rollouts are collected at each scrape; all others are set by the packages that
// they measure.
package telemetry

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "portgauge"

// Metrics are the counters, gauges and histograms of a node in their own registry.
type Metrics struct {
	Registry *prometheus.Registry

	// SearchLatency is the time from the arrival of a search to its answer, in seconds.
	SearchLatency *prometheus.HistogramVec
	// SearchCoverage is the fraction of the requested data that each answer covers.
	SearchCoverage *prometheus.HistogramVec
	// Failures counts failed searches by service, code and execution state.
	Failures *prometheus.CounterVec
	// Attempts counts leaf attempts by service and kind: first, hedge or retry.
	Attempts *prometheus.CounterVec
	// CancelledAttempts counts leaf attempts that were cancelled because their replies were no longer needed.
	CancelledAttempts *prometheus.CounterVec
	// DroppedReplies counts leaf replies that were not merged into an answer, by reason.
	DroppedReplies *prometheus.CounterVec
	// ConfigRevision is the configuration revision in force.
	ConfigRevision prometheus.Gauge
	// ConfigAge is the time since the revision in force was last confirmed to be the newest, in seconds.
	ConfigAge prometheus.Gauge
	// ConfigRejected counts stored values that could not be decoded.
	ConfigRejected prometheus.Counter
	// ConfigRelayed counts configuration messages sent to other nodes, by kind.
	ConfigRelayed *prometheus.CounterVec
	// ControlBytes counts bytes of control messages sent, by transport.
	ControlBytes *prometheus.CounterVec
	// FrontRequests counts requests of the front by route and outcome.
	FrontRequests *prometheus.CounterVec
	// FrontLatency is the time from the arrival of a front request to its answer, in seconds.
	FrontLatency *prometheus.HistogramVec
	// FrontAttempts counts leaf attempts of the front by kind.
	FrontAttempts *prometheus.CounterVec
	// FrontAttemptFailures counts leaf attempts of the front without a usable reply, by reason.
	FrontAttemptFailures *prometheus.CounterVec
	// FrontMissingParts counts the parts missing from gathered answers.
	FrontMissingParts prometheus.Counter
	// TreeGroupsPassed counts groups of parts passed on to intermediate nodes, by outcome.
	TreeGroupsPassed *prometheus.CounterVec
	// TreeLatency is the time from passing a group on to the reply, in seconds.
	TreeLatency prometheus.Histogram
	// TreeGathered counts groups gathered for other nodes, by outcome.
	TreeGathered *prometheus.CounterVec
	// LeafsLost counts leaf answers cut off by a lost connection, by whether the leaf process had ended.
	LeafsLost *prometheus.CounterVec
	// Quarantined counts requests that this or another node quarantined.
	Quarantined prometheus.Counter
	// LeafConnections counts connections opened to leafs.
	LeafConnections prometheus.Counter
	// StoreCalls counts calls of the store by call and status.
	StoreCalls *prometheus.CounterVec
	// StoreRevision is the revision in the last store answer that had one. StoreEpoch is the number of restores
	// from a backup in the last answer.
	StoreRevision prometheus.Gauge
	StoreEpoch    prometheus.Gauge
	// Retained is the number of retained entries in force, which the restored store lacks or has an older value of.
	Retained prometheus.Gauge
	// StatesDropped counts whole states read from the store that were dropped because they were older than the one in
	// force.
	StatesDropped prometheus.Counter
	// LogLinesDropped counts dropped lines of the decision log.
	LogLinesDropped prometheus.Counter
	// MemoryRefused counts reads that ended because they didn't fit into a memory budget, by kind of peer.
	MemoryRefused *prometheus.CounterVec
	// Members is the number of nodes in the member list of the zone, by state.
	Members *prometheus.GaugeVec
}

// NewMetrics returns metrics that are registered together with the metrics of the Go runtime and the process.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		Registry:             prometheus.NewRegistry(),
		SearchLatency:        newHistogram("query_latency_seconds", "Time from the arrival of a search to its answer, in seconds.", latencyBuckets(), "service", "class"),
		SearchCoverage:       newHistogram("query_coverage", "Fraction of the requested data that each answer covers.", []float64{0, 0.5, 0.9, 0.99, 0.9999, 1}, "service"),
		Failures:             newCounterVec("failures_total", "Failed searches by service, code and execution state.", "service", "code", "execution"),
		Attempts:             newCounterVec("leaf_attempts_total", "Leaf attempts of searches by service and kind (first, hedge or retry).", "service", "kind"),
		CancelledAttempts:    newCounterVec("leaf_attempts_cancelled_total", "Leaf attempts that were cancelled because their replies were no longer needed.", "service"),
		DroppedReplies:       newCounterVec("leaf_replies_dropped_total", "Leaf replies that were not merged into an answer, by reason.", "service", "reason"),
		ConfigRevision:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "config_revision", Help: "Configuration revision in force on this node."}),
		ConfigAge:            prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "config_age_seconds", Help: "Time since the configuration in force was last confirmed to be the newest, in seconds."}),
		ConfigRejected:       newCounter("config_rejected_total", "Stored values that were rejected as invalid; the log names key and field."),
		ConfigRelayed:        newCounterVec("config_messages_total", "Configuration messages sent to other nodes by kind.", "kind"),
		ControlBytes:         newCounterVec("control_bytes_sent_total", "Bytes of control messages sent by transport.", "transport"),
		FrontRequests:        newCounterVec("front_requests_total", "Requests of the front by route and outcome; refused requests have no route and their failure code as outcome.", "route", "outcome"),
		FrontLatency:         newHistogram("front_latency_seconds", "Time from the arrival of a front request to its answer, in seconds.", latencyBuckets(), "outcome"),
		FrontAttempts:        newCounterVec("front_attempts_total", "Leaf attempts of the front by kind (first, hedge or retry).", "kind"),
		FrontAttemptFailures: newCounterVec("front_attempt_failures_total", "Leaf attempts of the front without a usable reply, by reason.", "reason"),
		FrontMissingParts:    newCounter("front_missing_parts_total", "Parts that were missing from gathered answers."),
		TreeGroupsPassed:     newCounterVec("tree_passed_total", "Groups of parts passed on to intermediate nodes by outcome.", "outcome"),
		TreeLatency:          prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "tree_pass_seconds", Help: "Time from passing a group on to an intermediate node to its reply, in seconds.", Buckets: latencyBuckets()}),
		TreeGathered:         newCounterVec("tree_gathered_total", "Groups of parts gathered for other nodes by outcome.", "outcome"),
		LeafsLost:            newCounterVec("leafs_lost_total", "Leaf answers cut off by a lost connection, by whether the leaf process had ended.", "ended"),
		Quarantined:          newCounter("requests_quarantined_total", "Requests that this or another node quarantined because leafs crashed while they ran them."),
		LeafConnections:      newCounter("leaf_connections_opened_total", "Connections opened to leafs."),
		StoreCalls:           newCounterVec("store_calls_total", "Calls of the store by call and status; no_answer means that the store did not answer.", "call", "status"),
		StoreRevision:        prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "store_revision", Help: "Revision in the last store answer that had one."}),
		StoreEpoch:           prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "store_epoch", Help: "Number of restores of the store from a backup, according to its last answer."}),
		Retained:             prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "config_kept_entries", Help: "Entries that stay in force because the restored store lacks them or has an older value."}),
		StatesDropped:        newCounter("config_states_dropped_total", "Whole states read from the store that were dropped because they were older than the one in force."),
		LogLinesDropped:      newCounter("log_lines_left_out_total", "Lines of the decision log that were dropped because the rate was exceeded or the queue was full."),
		MemoryRefused:        newCounterVec("memory_refused_total", "Reads that ended because their bytes didn't fit into a memory budget, by kind of peer.", "peer"),
		Members:              prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "members", Help: "Nodes in the member list of the zone by state."}, []string{"state"}),
	}
	metrics.Registry.MustRegister(
		metrics.SearchLatency, metrics.SearchCoverage, metrics.Failures, metrics.Attempts,
		metrics.CancelledAttempts, metrics.DroppedReplies, metrics.ConfigRevision, metrics.ConfigAge,
		metrics.ConfigRejected, metrics.ConfigRelayed, metrics.ControlBytes, metrics.Members,
		metrics.FrontRequests, metrics.FrontLatency, metrics.FrontAttempts, metrics.FrontAttemptFailures,
		metrics.FrontMissingParts, metrics.TreeGroupsPassed, metrics.TreeLatency, metrics.TreeGathered, metrics.LeafsLost, metrics.Quarantined, metrics.LeafConnections, metrics.StoreCalls, metrics.LogLinesDropped,
		metrics.StoreRevision, metrics.StoreEpoch, metrics.StatesDropped, metrics.Retained, metrics.MemoryRefused,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return metrics
}

// RegisterMemory registers gauges of what is held of the memory budgets for requests and for control messages, in bytes.
func (m *Metrics) RegisterMemory(requests, control func() int64) error {
	return errors.Join(m.Registry.Register(newHeldGauge("requests", requests)), m.Registry.Register(newHeldGauge("control", control)))
}

func newHeldGauge(budget string, held func() int64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "memory_held_bytes", Help: "Bytes that peers make the node hold, by memory budget.",
		ConstLabels: prometheus.Labels{"budget": budget},
	}, func() float64 { return float64(held()) })
}

func newHistogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// latencyBuckets returns bucket bounds that double from 1 ms to 16 s.
func latencyBuckets() []float64 { return prometheus.ExponentialBuckets(0.001, 2, 15) }

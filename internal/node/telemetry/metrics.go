// Package telemetry has the metrics of a node, as fields of Metrics, and its logger.
//
// It owns the Prometheus registry; names and labels are an interface to operators and don't change. Latencies are in seconds.
// It relies on the packages it measures only for the roll-outs, which are collected at each scrape.
package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "portgauge"

// Metrics are the counters, gauges and histograms of a node on their own registry.
type Metrics struct {
	Registry *prometheus.Registry

	// QueryLatency is the time from a query's arrival to its answer, in seconds.
	QueryLatency *prometheus.HistogramVec
	// QueryCoverage is the covered fraction of each answer.
	QueryCoverage *prometheus.HistogramVec
	// Refusals counts failures by service, code and execution state.
	Refusals *prometheus.CounterVec
	// Attempts counts leaf attempts by service and kind: first, hedge or retry.
	Attempts *prometheus.CounterVec
	// CancelledAttempts counts attempts that lost to another.
	CancelledAttempts *prometheus.CounterVec
	// DroppedReplies counts leaf replies that were not merged, by reason.
	DroppedReplies *prometheus.CounterVec
	// ConfigRevision is the revision in force.
	ConfigRevision prometheus.Gauge
	// ConfigAge is how long ago the revision in force was last confirmed to be the newest.
	ConfigAge prometheus.Gauge
	// ConfigRejected counts values of the store that could not be put into force.
	ConfigRejected prometheus.Counter
	// ConfigRelayed counts configuration messages between nodes, by kind.
	ConfigRelayed *prometheus.CounterVec
	// ControlBytes counts bytes sent between nodes for control, by transport.
	ControlBytes *prometheus.CounterVec
	// FrontRequests counts requests of the front by route and outcome.
	FrontRequests *prometheus.CounterVec
	// FrontLatency is the time from a front request's arrival to its answer, in seconds.
	FrontLatency *prometheus.HistogramVec
	// FrontAttempts counts leaf attempts of the front by kind.
	FrontAttempts *prometheus.CounterVec
	// FrontAttemptFailures counts leaf attempts of the front without a usable reply, by reason.
	FrontAttemptFailures *prometheus.CounterVec
	// FrontMissingParts counts the parts that gathered answers lacked.
	FrontMissingParts prometheus.Counter
	// TreePassed counts requests passed on to other nodes, by outcome.
	TreePassed *prometheus.CounterVec
	// TreeLatency is the time from passing a request on to its reply.
	TreeLatency prometheus.Histogram
	// TreeGathered counts requests gathered for other nodes, by outcome.
	TreeGathered *prometheus.CounterVec
	// LeafsLost counts answers that broke off, by whether the leaf's process had crashed.
	LeafsLost *prometheus.CounterVec
	// Quarantined counts requests put under quarantine, by this node or another.
	Quarantined prometheus.Counter
	// LeafConnections counts connections opened to leafs.
	LeafConnections prometheus.Counter
	// StoreCalls counts calls of the store by name and status.
	StoreCalls *prometheus.CounterVec
	// StoreRevision is the store's revision by its last answer with one, StoreEpoch how often it had been restored from a
	// backup by then.
	StoreRevision prometheus.Gauge
	StoreEpoch    prometheus.Gauge
	// Kept is the number of entries kept in force although a restored store lacks them.
	Kept prometheus.Gauge
	// StatesDropped counts whole states read from the store and dropped as older than the one in force.
	StatesDropped prometheus.Counter
	// LogLinesLeftOut counts dropped lines of the decision log.
	LogLinesLeftOut prometheus.Counter
	// Members is the number of nodes known in the zone, by state.
	Members *prometheus.GaugeVec
}

// NewMetrics returns the metrics, registered together with those of the Go runtime.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		Registry:             prometheus.NewRegistry(),
		QueryLatency:         histogram("query_latency_seconds", "Time from a query's arrival to its answer.", latencyBuckets(), "service", "class"),
		QueryCoverage:        histogram("query_coverage", "Covered fraction of each answer.", []float64{0, 0.5, 0.9, 0.99, 0.9999, 1}, "service"),
		Refusals:             counters("failures_total", "Failed queries by code and execution state.", "service", "code", "execution"),
		Attempts:             counters("leaf_attempts_total", "Leaf attempts by kind.", "service", "kind"),
		CancelledAttempts:    counters("leaf_attempts_cancelled_total", "Leaf attempts that lost to another.", "service"),
		DroppedReplies:       counters("leaf_replies_dropped_total", "Leaf replies that were not merged.", "service", "reason"),
		ConfigRevision:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "config_revision", Help: "Configuration revision in force."}),
		ConfigAge:            prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "config_age_seconds", Help: "Time since the configuration in force was confirmed to be the newest."}),
		ConfigRejected:       counter("config_rejected_total", "Stored values that could not be put into force."),
		ConfigRelayed:        counters("config_messages_total", "Configuration messages sent to other nodes.", "kind"),
		ControlBytes:         counters("control_bytes_sent_total", "Bytes sent to other nodes for control.", "transport"),
		FrontRequests:        counters("front_requests_total", "Requests of the front by route and outcome.", "route", "outcome"),
		FrontLatency:         histogram("front_latency_seconds", "Time from a front request's arrival to its answer.", latencyBuckets(), "outcome"),
		FrontAttempts:        counters("front_attempts_total", "Leaf attempts of the front by kind.", "kind"),
		FrontAttemptFailures: counters("front_attempt_failures_total", "Leaf attempts of the front without a usable reply.", "reason"),
		FrontMissingParts:    counter("front_missing_parts_total", "Parts that gathered answers lacked."),
		TreePassed:           counters("tree_passed_total", "Requests passed on to other nodes by outcome.", "outcome"),
		TreeLatency:          prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "tree_pass_seconds", Help: "Time from passing a request on to its reply.", Buckets: latencyBuckets()}),
		TreeGathered:         counters("tree_gathered_total", "Requests gathered for other nodes by outcome.", "outcome"),
		LeafsLost:            counters("leafs_lost_total", "Answers that broke off, by whether the leaf's process crashed.", "ended"),
		Quarantined:          counter("requests_quarantined_total", "Requests put under quarantine because leafs crashed while running them."),
		LeafConnections:      counter("leaf_connections_opened_total", "Connections opened to leafs."),
		StoreCalls:           counters("store_calls_total", "Calls of the store.", "call", "status"),
		StoreRevision:        prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "store_revision", Help: "Revision of the store by its last answer."}),
		StoreEpoch:           prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "store_epoch", Help: "Restores of the store from a backup by its last answer."}),
		Kept:                 prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "config_kept_entries", Help: "Entries in force that the restored store lacks."}),
		StatesDropped:        counter("config_states_dropped_total", "Whole states of the store that were older than the one in force."),
		LogLinesLeftOut:      counter("log_lines_left_out_total", "Decision log lines that were dropped."),
		Members:              prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "members", Help: "Nodes known in the zone by state."}, []string{"state"}),
	}
	metrics.Registry.MustRegister(
		metrics.QueryLatency, metrics.QueryCoverage, metrics.Refusals, metrics.Attempts,
		metrics.CancelledAttempts, metrics.DroppedReplies, metrics.ConfigRevision, metrics.ConfigAge,
		metrics.ConfigRejected, metrics.ConfigRelayed, metrics.ControlBytes, metrics.Members,
		metrics.FrontRequests, metrics.FrontLatency, metrics.FrontAttempts, metrics.FrontAttemptFailures,
		metrics.FrontMissingParts, metrics.TreePassed, metrics.TreeLatency, metrics.TreeGathered, metrics.LeafsLost, metrics.Quarantined, metrics.LeafConnections, metrics.StoreCalls, metrics.LogLinesLeftOut,
		metrics.StoreRevision, metrics.StoreEpoch, metrics.StatesDropped, metrics.Kept,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return metrics
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// latencyBuckets go from 1 ms to 16 s, doubling.
func latencyBuckets() []float64 { return prometheus.ExponentialBuckets(0.001, 2, 15) }

package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures how requests are served.
type Config struct {
	// HedgeFactor is how many median latencies a hedge waits while the retry budget is full. The wait grows as the
	// budget is used up.
	HedgeFactor float64 `yaml:"hedge_factor"`
	// HedgeShare is the fraction of the time left until the objective that a hedge waits at least, unless it would then
	// be too late to answer in time. An answer is worth the same at any time before the objective, so an earlier hedge
	// would only add load.
	HedgeShare float64 `yaml:"hedge_share"`
	// LatencyWindow is the minimum time for which a latency sample counts; the maximum is twice that.
	LatencyWindow time.Duration `yaml:"latency_window"`
	// HedgeReserve is the fraction of the retry budget that hedges leave for retries.
	HedgeReserve float64 `yaml:"hedge_reserve"`
	// ReplicaWait is the pause before a shard without a usable leaf is tried again.
	ReplicaWait time.Duration `yaml:"replica_wait"`
	// AnswerReserve is subtracted from a caller's deadline to leave time for sending the answer.
	AnswerReserve time.Duration `yaml:"answer_reserve"`
	// ObjectiveReserve is subtracted from the objective, in addition to the round trip to the caller, to leave time for
	// merging and sending the answer.
	ObjectiveReserve time.Duration `yaml:"objective_reserve"`
	// MaximumRefusals is how many attempts per shard may be refused by leafs that did not run them, in addition to the
	// attempts that the route allows.
	MaximumRefusals int `yaml:"maximum_refusals"`
	// RetryAfter is the Retry-After of requests that every leaf refused or that reached no leaf.
	RetryAfter time.Duration `yaml:"retry_after"`
	// OverloadRetryAfter is the mean Retry-After of requests that are refused because most shards have too many
	// requests queued.
	OverloadRetryAfter time.Duration `yaml:"overload_retry_after"`
	// ServingTree lets another node gather shards for this one if it is in the same zone as their leafs or has far more
	// processors.
	ServingTree bool `yaml:"serving_tree"`
	// CallerHeader names the header that identifies the caller. A request that crashed leafs then does not count
	// against other callers' requests with the same path and body. If it is empty, callers are not distinguished.
	CallerHeader string `yaml:"caller_header"`
	// FingerprintQuery includes the query in the fingerprint of a request. Otherwise requests with the same path and
	// body are treated as the same request sent again.
	FingerprintQuery bool `yaml:"fingerprint_query"`
	// MaximumGathered bounds the groups that this node gathers for other nodes at a time.
	MaximumGathered int64 `yaml:"maximum_gathered"`
}

// DefaultConfig returns a configuration for objectives of tens of milliseconds or more.
func DefaultConfig() Config {
	return Config{
		HedgeFactor:        1.6,
		HedgeShare:         0.4,
		LatencyWindow:      5 * time.Second,
		HedgeReserve:       0.25,
		ReplicaWait:        10 * time.Millisecond,
		AnswerReserve:      10 * time.Millisecond,
		ObjectiveReserve:   4500 * time.Microsecond,
		MaximumRefusals:    3,
		RetryAfter:         50 * time.Millisecond,
		OverloadRetryAfter: 500 * time.Millisecond,
		ServingTree:        true,
		MaximumGathered:    64,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.HedgeFactor < 1, "hedge_factor", "must be at least 1")
	checks.Refuse(c.HedgeShare < 0 || c.HedgeShare >= 1, "hedge_share", "must be at least 0 and below 1")
	checks.Refuse(c.LatencyWindow <= 0, "latency_window", "must be positive")
	checks.Refuse(c.HedgeReserve < 0 || c.HedgeReserve >= 1, "hedge_reserve", "must be at least 0 and below 1")
	checks.Refuse(c.ReplicaWait <= 0, "replica_wait", "must be positive")
	checks.Refuse(c.AnswerReserve < 0, "answer_reserve", "must not be negative")
	checks.Refuse(c.ObjectiveReserve < 0, "objective_reserve", "must not be negative")
	checks.Refuse(c.MaximumRefusals < 0, "maximum_refusals", "must not be negative")
	checks.Refuse(c.RetryAfter <= 0, "retry_after", "must be positive")
	checks.Refuse(c.OverloadRetryAfter <= 0, "overload_retry_after", "must be positive")
	checks.Refuse(c.MaximumGathered < 1, "maximum_gathered", "must be at least 1")
	return checks.Err()
}

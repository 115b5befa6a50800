// Package gateway serves requests over HTTP by the routing table: to one leaf of a service, or
// to one leaf of each of many services whose greatest records make the answer.
//
// It is the counterpart of package search for back ends whose records are opaque. Both use the
// same scatter engine, replica choice and catalog.
package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config tunes how requests are served.
type Config struct {
	// HedgeFactor times the median latency is when a second leaf is asked while the retry
	// budget is full; with less of it left the wait grows.
	HedgeFactor float64 `yaml:"hedge_factor"`
	// HedgeShare is the part of the time left for the objective that the first leaf has in any
	// case: an answer is worth the same at any time before, so that a hedge that comes early
	// only costs load.
	HedgeShare float64 `yaml:"hedge_share"`
	// LatencyWindow is how long a latency counts.
	LatencyWindow time.Duration `yaml:"latency_window"`
	// HedgeReserve is the part of the retry budget that hedges leave for retries.
	HedgeReserve float64 `yaml:"hedge_reserve"`
	// ReplicaWait is the pause before a shard without a usable leaf is tried again.
	ReplicaWait time.Duration `yaml:"replica_wait"`
	// AnswerReserve is kept back from a caller's deadline for the way of the answer.
	AnswerReserve time.Duration `yaml:"answer_reserve"`
	// ObjectiveReserve is kept back from the objective, besides the ways to and from the caller,
	// for making and sending the answer.
	ObjectiveReserve time.Duration `yaml:"objective_reserve"`
	// MaximumRefusals is how many attempts of a shard may be refused unrun beyond those that
	// its route allows to run.
	MaximumRefusals int `yaml:"maximum_refusals"`
	// RetryAfter is when callers of an overloaded service are told to come back.
	RetryAfter time.Duration `yaml:"retry_after"`
	// OverloadRetryAfter is about when callers are told to come back that are refused for the
	// work that waits at most shards.
	OverloadRetryAfter time.Duration `yaml:"overload_retry_after"`
	// ServingTree lets another node gather for this one, where that one is in a zone with the leafs
	// or has far more processors.
	ServingTree bool `yaml:"serving_tree"`
	// CallerHeader names the header by which callers identify themselves, so that what one's request did to leafs is not
	// held against another's of the same path and body; empty means that callers are not told apart.
	CallerHeader string `yaml:"caller_header"`
	// FingerprintQuery tells requests apart by their query, too. Otherwise those of the same path and body are tries of one
	// request.
	FingerprintQuery bool `yaml:"fingerprint_query"`
	// MaximumGathered bounds the requests that this node gathers for others at once.
	MaximumGathered int64 `yaml:"maximum_gathered"`
}

// DefaultConfig suits objectives of tens of milliseconds and more.
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

// Validate names every field at fault.
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

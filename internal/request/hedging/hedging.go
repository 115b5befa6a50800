// Package hedging decides when a second replica is asked because the first is slow, and
// bounds how often that and retries may happen.
//
// A hedge is sent after a high quantile of the recent latency of the service's leaf
// attempts. With 64 shards a query, a hedge that straggles too is common, so hedges come in
// stages, each after the same delay from the one before. All draw on one token budget,
// a share of the attempts, so that extra load stays bounded whatever the leafs do.
package hedging

import (
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config tunes hedges and retries.
type Config struct {
	// Quantile of recent attempt latency after which the first hedge is sent, in percent.
	Quantile float64 `yaml:"quantile"`
	// Window is how long a latency sample counts, at least; twice that at most.
	Window time.Duration `yaml:"window"`
	// MinimumDelay is the least wait before a hedge.
	MinimumDelay time.Duration `yaml:"minimum_delay"`
	// MaximumStages is how many hedges one shard of one query may have.
	MaximumStages int `yaml:"maximum_stages"`
	// RetryPerMille bounds retries after failures per 1,000 first attempts.
	RetryPerMille uint32 `yaml:"retry_per_mille"`
	// Burst is how many tokens an idle budget holds.
	Burst int `yaml:"burst"`
	// ShedPause is how long hedges stay off after a leaf of the service shed load.
	ShedPause time.Duration `yaml:"shed_pause"`
}

// DefaultHedgePerMille is the hedge budget of a service that sets none.
const DefaultHedgePerMille = 20

// minimumSamples is how many latencies must be known before any hedge is sent.
const minimumSamples = 100

// DefaultConfig keeps extra load near 2%.
func DefaultConfig() Config {
	return Config{
		Quantile:      98.3,
		Window:        5 * time.Second,
		MinimumDelay:  time.Millisecond,
		MaximumStages: 2,
		RetryPerMille: 100,
		Burst:         64,
		ShedPause:     time.Second,
	}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Quantile < 50 || c.Quantile >= 100, "quantile", "must be at least 50 and below 100")
	checks.Refuse(c.Window <= 0, "window", "must be positive")
	checks.Refuse(c.MinimumDelay < 0, "minimum_delay", "must not be negative")
	checks.Refuse(c.MaximumStages < 0 || c.MaximumStages > 4, "maximum_stages", "must be between 0 and 4")
	checks.Refuse(c.RetryPerMille > 1000, "retry_per_mille", "must be at most 1000")
	checks.Refuse(c.Burst < 1, "burst", "must be at least 1")
	checks.Refuse(c.ShedPause < 0, "shed_pause", "must not be negative")
	return checks.Err()
}

// Policy decides for one service. It is safe for concurrent use.
type Policy struct {
	config Config

	hedges  budget
	retries budget
	shedAt  atomic.Int64
	delay   atomic.Int64 // nanoseconds; 0 while too little is known

	latencies *Latencies
}

// NewPolicy makes a policy; hedgePerMille of 0 means the default.
func NewPolicy(config Config, hedgePerMille uint32) *Policy {
	policy := &Policy{config: config, latencies: NewLatencies(config.Window, minimumSamples)}
	policy.SetHedgeBudget(hedgePerMille)
	policy.retries.init(config.RetryPerMille, config.Burst)
	return policy
}

// SetHedgeBudget changes the hedges allowed per 1,000 attempts; 0 means the default.
func (p *Policy) SetHedgeBudget(perMille uint32) {
	if perMille == 0 {
		perMille = DefaultHedgePerMille
	}
	p.hedges.init(perMille, p.config.Burst)
}

// FirstAttempt earns budget for one first attempt.
func (p *Policy) FirstAttempt() {
	p.hedges.earn(1)
	p.retries.earn(1)
}

// Observe records the latency of a finished attempt.
func (p *Policy) Observe(took time.Duration) {
	if !p.latencies.Observe(took) {
		return
	}
	if delay, known := p.latencies.Quantile(p.config.Quantile); known {
		p.delay.Store(int64(max(delay, p.config.MinimumDelay)))
	}
}

// HedgeDelay gives how long to wait before the hedge of a stage (0 is the first), counted from
// the attempt before it, and whether there is such a stage.
func (p *Policy) HedgeDelay(stage int) (time.Duration, bool) {
	delay := time.Duration(p.delay.Load())
	if stage >= p.config.MaximumStages || delay == 0 {
		return 0, false
	}
	return delay, true
}

// TypicalLatency gives 0: replicas of key ranges are compared with each other instead.
func (p *Policy) TypicalLatency() time.Duration { return 0 }

// WorthHedging reports that a hedge is worth its cost to any replica.
func (p *Policy) WorthHedging(float64) bool { return true }

// AllowHedge takes a token for a hedge; false while the service sheds load.
func (p *Policy) AllowHedge() bool {
	if time.Since(time.Unix(0, p.shedAt.Load())) < p.config.ShedPause {
		return false
	}
	return p.hedges.take()
}

// AllowRetry takes a token for a retry.
func (p *Policy) AllowRetry() bool { return p.retries.take() }

// ObserveShed records that a leaf of the service refused for lack of capacity.
func (p *Policy) ObserveShed() { p.shedAt.Store(time.Now().UnixNano()) }

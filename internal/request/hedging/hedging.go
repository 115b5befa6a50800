// Package hedging decides for searches when a second replica is asked because the first is slow, and
// limits the rate of hedges and retries.
//
// A hedge is sent after a high quantile of the recent latency of the service's attempts. In a search over many shards it
// is common that a hedge is slow, too, so that hedges come in
// stages, each after the same delay from the one before. All take tokens from one budget,
// a share of the attempts, so that the extra load is limited whatever the leafs do.
//
// A Policy owns the latencies and budgets of one service on one node, in memory. Latencies and pauses are by the runtime's
// clock. The package starts no goroutines and returns errors only for invalid settings.
package hedging

import (
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config tunes hedges and retries of searches.
type Config struct {
	// Quantile of recent attempt latency after which the first hedge is sent, in percent.
	Quantile float64 `yaml:"quantile"`
	// Window is the minimum time for which a latency sample counts; the maximum is twice that.
	Window time.Duration `yaml:"window"`
	// MinimumDelay is the minimum wait before a hedge.
	MinimumDelay time.Duration `yaml:"minimum_delay"`
	// MaximumStages is how many hedges one shard of one query may have.
	MaximumStages int `yaml:"maximum_stages"`
	// RetryPerMille is the maximum number of retries after failures per 1,000 first attempts.
	RetryPerMille uint32 `yaml:"retry_per_mille"`
	// Burst is the maximum number of tokens in a budget.
	Burst int `yaml:"burst"`
	// ShedPause is how long no hedges are sent after a leaf of the service shed load.
	ShedPause time.Duration `yaml:"shed_pause"`
}

// DefaultHedgePerMille is the hedge budget, per 1,000 first attempts, of a service that sets none.
const DefaultHedgePerMille = 20

// minimumSamples is how many latencies must be known before any hedge is sent: fewer give no high quantile.
const minimumSamples = 100

// DefaultConfig keeps the extra load by hedges near 2%.
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

// Validate returns an error that names every invalid field.
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

// Policy decides for one service; it implements scatter.Policy. It is safe for concurrent use.
type Policy struct {
	config Config

	hedges  budget
	retries budget
	shedAt  atomic.Int64 // Unix nanoseconds
	delay   atomic.Int64 // nanoseconds; 0 while too few latencies are known

	latencies *Latencies
}

// NewPolicy returns a policy; hedgePerMille of 0 means the default.
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

// FirstAttempt adds the share of a token that one first attempt earns to both budgets.
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

// HedgeDelay decides when a hedge is sent: it returns how long to wait before the hedge of a stage, counted from 0,
// since the attempt before it, and whether there is such a stage.
//
// Rule: the quantile Config.Quantile of the recent latencies of the service, at least Config.MinimumDelay, at each of
// Config.MaximumStages stages; none while fewer than minimumSamples latencies are known. A hedge then only goes to
// attempts that are unusually slow.
func (p *Policy) HedgeDelay(stage int) (time.Duration, bool) {
	delay := time.Duration(p.delay.Load())
	if stage >= p.config.MaximumStages || delay == 0 {
		return 0, false
	}
	return delay, true
}

// TypicalLatency returns 0, unknown: the balancer compares replicas of key ranges with each other instead.
func (p *Policy) TypicalLatency() time.Duration { return 0 }

// WorthHedging reports that a hedge to any replica is useful.
func (p *Policy) WorthHedging(float64) bool { return true }

// AllowHedge takes a token for a hedge. It reports false without a token, and for Config.ShedPause after a leaf of the
// service shed load, since hedges would add to the overload.
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

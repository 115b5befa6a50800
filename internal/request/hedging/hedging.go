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
)

// minimumSamples is how many latencies must be known before any hedge is sent: a high quantile of fewer would be arbitrary.
const minimumSamples = 100

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

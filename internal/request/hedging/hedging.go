// Package hedging decides when a search sends a hedge to another replica because the first one is slow, and limits the
// rate of hedges and retries.
//
// A hedge is sent after a high quantile of the recent latencies of the service's attempts. Among many shards some
// hedges are slow, too, so up to Config.MaximumStages hedges are sent, each after the same delay from the previous
// attempt. All stages take tokens from one budget, a fraction of the first attempts, which limits the extra load for
// any behavior of the leafs.
//
// A Policy owns the latencies and budgets of one service on one node, in memory. Latencies and pauses are measured with
// the runtime's clock. The package starts no goroutines and returns errors only for invalid settings.
package hedging

import (
	"sync/atomic"
	"time"
)

// minimumSamples is the number of latencies needed before hedges are sent: a high quantile of fewer is unreliable.
const minimumSamples = 100

// Policy is the scatter.Policy of one service. It is safe for concurrent use.
type Policy struct {
	cfg Config

	hedges  budget
	retries budget
	shedAt  atomic.Int64 // Unix nanoseconds
	delay   atomic.Int64 // of hedges, in nanoseconds; 0 while too few latencies are known

	latencies *Latencies
}

// NewPolicy returns a policy. A hedgePerMille of 0 means DefaultHedgePerMille.
func NewPolicy(cfg Config, hedgePerMille uint32) *Policy {
	policy := &Policy{cfg: cfg, latencies: NewLatencies(cfg.Window, minimumSamples)}
	policy.SetHedgeBudget(hedgePerMille)
	policy.retries.init(cfg.RetryPerMille, cfg.Burst)
	return policy
}

// SetHedgeBudget sets the number of hedges allowed per 1,000 first attempts; 0 means DefaultHedgePerMille.
func (p *Policy) SetHedgeBudget(perMille uint32) {
	if perMille == 0 {
		perMille = DefaultHedgePerMille
	}
	p.hedges.init(perMille, p.cfg.Burst)
}

// FirstAttempt adds the fraction of a token for one first attempt to each budget.
func (p *Policy) FirstAttempt() {
	p.hedges.earn(1)
	p.retries.earn(1)
}

// Observe records the latency of an attempt that ended or was cancelled.
func (p *Policy) Observe(took time.Duration) {
	if !p.latencies.Observe(took) {
		return
	}
	if delay, known := p.latencies.Quantile(p.cfg.Quantile); known {
		p.delay.Store(int64(max(delay, p.cfg.MinimumDelay)))
	}
}

// HedgeDelay returns the delay from the previous attempt until the hedge of the given stage, counted from 0, and
// whether there is such a stage. The delay is the quantile Config.Quantile of the service's recent latencies, at least
// Config.MinimumDelay, and the same for each of the Config.MaximumStages stages, so that only unusually slow attempts
// are hedged. There is no stage while fewer than minimumSamples latencies are known.
func (p *Policy) HedgeDelay(stage int) (time.Duration, bool) {
	delay := time.Duration(p.delay.Load())
	if stage >= p.cfg.MaximumStages || delay == 0 {
		return 0, false
	}
	return delay, true
}

// TypicalLatency returns 0 for unknown: the balancer compares the replicas of a key range with each other instead.
func (p *Policy) TypicalLatency() time.Duration { return 0 }

// WorthHedging returns true: a hedge to any replica is useful.
func (p *Policy) WorthHedging(float64) bool { return true }

// AllowHedge takes a token for a hedge and reports whether there was one. It returns false for Config.ShedPause after a
// leaf of the service shed load, since hedges would add to the overload.
func (p *Policy) AllowHedge() bool {
	if time.Since(time.Unix(0, p.shedAt.Load())) < p.cfg.ShedPause {
		return false
	}
	return p.hedges.take()
}

// AllowRetry takes a token for a retry and reports whether there was one.
func (p *Policy) AllowRetry() bool { return p.retries.take() }

// ObserveShed records that a leaf of the service shed an attempt.
func (p *Policy) ObserveShed() { p.shedAt.Store(time.Now().UnixNano()) }

package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/request/retrybudget"
)

// shardPolicy decides whether one shard of one request may be hedged and retried. Package scatter decides when, within
// these bounds.
//
// There is at most one hedge, after HedgeDelay, if the balancer expects another leaf to answer by answerBy and if the
// service's retry budget has more than HedgeReserve left. A retry may use the rest of that budget. Hedges and retries
// each take one attempt from the budget, and the route's MaximumAttempts bounds both. Requests that run at most once
// are not hedged, and are retried only with proof that no leaf ran them.
type shardPolicy struct {
	cfg     *Config
	service string
	budgets *retrybudget.Budgets
	latency *kindLatency
	// answerBy is the planned time of the answer: the objective less this node's lag.
	answerBy time.Time
}

const (
	// Hedges wait lowBudgetFactor times as long if less than lowBudget of the retry budget is left, and
	// tightBudgetFactor times as long below tightBudget: the rest of the budget is for the slowest attempts.
	lowBudget         = 0.5
	lowBudgetFactor   = 1.4
	tightBudget       = 0.3
	tightBudgetFactor = 2.2
	// minimumHedgeDelay is the shortest delay of a hedge.
	minimumHedgeDelay = 2 * time.Millisecond
	// lastChanceFactor is how many typical latencies before answerBy a hedge must be sent to still answer in time.
	lastChanceFactor = 1.5
)

// FirstAttempt implements scatter.Policy. It does nothing: execution.countRequests counts the request.
func (p *shardPolicy) FirstAttempt() {}

// HedgeDelay implements scatter.Policy. A hedge is sent after HedgeFactor typical latencies, but not before the
// fraction HedgeShare of the time left until answerBy has passed, and early enough for another leaf to answer in time.
func (p *shardPolicy) HedgeDelay(stage int) (time.Duration, bool) {
	if stage > 0 {
		return 0, false
	}
	typical := p.latency.typical()
	factor := p.cfg.HedgeFactor
	switch left := p.budgets.FreeFraction(p.service); {
	case left < tightBudget:
		factor *= tightBudgetFactor
	case left < lowBudget:
		factor *= lowBudgetFactor
	}
	left := time.Until(p.answerBy)
	delay := max(time.Duration(factor*float64(typical)), time.Duration(p.cfg.HedgeShare*float64(left)))
	lastChance := left - time.Duration(lastChanceFactor*float64(typical))
	if lastChance > 0 {
		delay = min(delay, lastChance)
	}
	return max(delay, minimumHedgeDelay), true
}

// TypicalLatency implements scatter.Policy.
func (p *shardPolicy) TypicalLatency() time.Duration { return p.latency.typical() }

// WorthHedging implements scatter.Policy. Before answerBy, a hedge is worth its cost only if it is expected to answer
// by then; after answerBy, every hedge is.
func (p *shardPolicy) WorthHedging(expected float64) bool {
	left := time.Until(p.answerBy)
	return left <= 0 || time.Duration(expected*float64(p.latency.typical())) < left
}

// AllowHedge implements scatter.Policy.
func (p *shardPolicy) AllowHedge() bool { return p.budgets.Take(p.service, p.cfg.HedgeReserve) }

// AllowRetry implements scatter.Policy.
func (p *shardPolicy) AllowRetry() bool { return p.budgets.Take(p.service, 0) }

// Observe implements scatter.Policy.
func (p *shardPolicy) Observe(took time.Duration) { p.latency.observe(took) }

// ObserveShed implements scatter.Policy. It does nothing: the balancer receives refusals with the outcome of the
// attempt.
func (p *shardPolicy) ObserveShed() {}

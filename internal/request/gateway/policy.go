package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/request/retrybudget"
)

// shardPolicy decides on the hedges and retries of one shard of one request. When they are made within these bounds is
// package scatter's decision.
//
// There is at most one hedge, after HedgeDelay, if the balancer expects another leaf to answer within the objective,
// and if the retry budget of the service has more than HedgeReserve left. A retry takes what is left of that budget.
// Each takes one from the budget. The route's MaximumAttempts bounds both; requests that run at most once are not hedged,
// and are retried only with proof that no leaf ran them.
type shardPolicy struct {
	config  *Config
	service string
	budgets *retrybudget.Budgets
	latency *kindLatency
	// objective is until when the answer has its full worth.
	objective time.Time
}

const (
	// Below lowBudget, the share of the retry budget that is left, hedges wait lowBudgetWait times as long; below
	// tightBudget, tightWait times: what is left is for the slowest attempts.
	lowBudget     = 0.5
	lowBudgetWait = 1.4
	tightBudget   = 0.3
	tightWait     = 2.2
	// minimumHedge is the shortest delay of a hedge.
	minimumHedge = 2 * time.Millisecond
	// lastChanceTail is how many typical latencies before the objective another leaf can still answer in time.
	lastChanceTail = 1.5
)

// FirstAttempt implements scatter.Policy. It does nothing: execution.countRequests counts the request.
func (p *shardPolicy) FirstAttempt() {}

// HedgeDelay implements scatter.Policy. A hedge is due after HedgeFactor typical latencies, but not before HedgeShare
// of the time left for the objective has passed, and at the latest when another leaf can still answer in time.
func (p *shardPolicy) HedgeDelay(stage int) (time.Duration, bool) {
	if stage > 0 {
		return 0, false
	}
	typical := p.latency.typical()
	factor := p.config.HedgeFactor
	switch left := p.budgets.FreeShare(p.service); {
	case left < tightBudget:
		factor *= tightWait
	case left < lowBudget:
		factor *= lowBudgetWait
	}
	left := time.Until(p.objective)
	delay := max(time.Duration(factor*float64(typical)), time.Duration(p.config.HedgeShare*float64(left)))
	lastChance := left - time.Duration(lastChanceTail*float64(typical))
	if lastChance > 0 {
		delay = min(delay, lastChance)
	}
	return max(delay, minimumHedge), true
}

// TypicalLatency implements scatter.Policy.
func (p *shardPolicy) TypicalLatency() time.Duration { return p.latency.typical() }

// WorthHedging implements scatter.Policy. Before the objective, a hedge is worth its cost only if it is expected to
// answer by then; after it, any answer is.
func (p *shardPolicy) WorthHedging(expected float64) bool {
	left := time.Until(p.objective)
	return left <= 0 || time.Duration(expected*float64(p.latency.typical())) < left
}

// AllowHedge implements scatter.Policy.
func (p *shardPolicy) AllowHedge() bool { return p.budgets.Take(p.service, p.config.HedgeReserve) }

// AllowRetry implements scatter.Policy.
func (p *shardPolicy) AllowRetry() bool { return p.budgets.Take(p.service, 0) }

// Observe implements scatter.Policy.
func (p *shardPolicy) Observe(took time.Duration) { p.latency.observe(took) }

// ObserveShed implements scatter.Policy. It does nothing: the balancer learns of refusals from the outcome of the attempt.
func (p *shardPolicy) ObserveShed() {}

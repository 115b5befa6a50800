package admission

import (
	"math"
	"time"
)

// congestedBackoff multiplies the limit in use after a congested query.
const congestedBackoff = 0.9

// backoffPause is the minimum time between two reductions, so that queries that were congested at the same time reduce
// the limit once.
const backoffPause = 100 * time.Millisecond

// SetLimits applies new limits; running queries are not affected.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits == limits {
		return
	}
	if g.limitInUse >= float64(g.limits.Concurrency) {
		g.limitInUse = float64(limits.Concurrency)
	}
	g.limits = limits
	g.limitInUse = math.Max(1, math.Min(g.limitInUse, float64(limits.Concurrency)))
	g.admitWaiting()
}

// ReduceLimit reduces the limit in use, so that a more urgent service gets the leafs' capacity.
func (g *Gate) ReduceLimit() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reduceLimit(now)
	g.refuseTooLate(now)
}

// reduceLimit reduces the limit in use after a congested query, at most once per backoffPause: to congestedBackoff times
// the lesser of the limit in use and the number of running queries plus one. g.mu must be held.
func (g *Gate) reduceLimit(now time.Time) {
	if now.Sub(g.reducedAt) < backoffPause {
		return
	}
	g.reducedAt = now
	g.limitInUse = math.Max(1, math.Min(g.limitInUse, float64(g.running+1))*congestedBackoff)
}

// raiseLimit raises the limit in use after a query without congestion, by one per limitInUse queries, up to the
// operator's limit. g.mu must be held.
func (g *Gate) raiseLimit() {
	g.limitInUse = math.Min(float64(g.limits.Concurrency), g.limitInUse+1/g.limitInUse)
}

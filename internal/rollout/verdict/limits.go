package verdict

import (
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// setLimits derives the limits of each route from the serving version's median.
func (e *Evaluator) setLimits(rows []evidence.Row) {
	medians := map[string]*evidence.Tally{}
	for _, row := range rows {
		if row.Version == e.serving && e.route(row.Route) != nil {
			if medians[row.Route] == nil {
				medians[row.Route] = &evidence.Tally{}
			}
			medians[row.Route].Add(row.Tally)
		}
	}
	for name, tally := range medians {
		if tally.Answered.Total() >= minAnswersForMedian {
			e.routes[name].limits = e.cfg.limits(tally.Answered.Quantile(0.5))
		}
	}
}

// limits returns the latencies above which answers are late: each slow factor times the median, plus the round trip
// between zones.
func (c *Config) limits(median time.Duration) []time.Duration {
	var limits []time.Duration
	for _, factor := range c.SlowFactors {
		limits = append(limits, time.Duration(factor*float64(median))+c.RoundTrip)
	}
	return limits
}

// limitsOf returns the limits for a row. They are higher for the canary while its leafs may be cold, and while the
// serving version has too few recent answers. A single leaf that starts later than the others gets no higher limits.
func (e *Evaluator) limitsOf(key evidence.Key, route *route, elapsed time.Duration) []time.Duration {
	if key.Version != e.canary || len(route.limits) == 0 {
		return route.limits
	}
	factor := 1.0
	if elapsed-e.canarySeenAt < e.cfg.ColdFor {
		factor = e.cfg.ColdFactor
	}
	if route.baseline.recent[0].all < minAnswersToCompare {
		factor = max(factor, staleFactor)
	}
	limits := make([]time.Duration, len(route.limits))
	for i, limit := range route.limits {
		limits[i] = time.Duration(factor * float64(limit))
	}
	return limits
}

package verdict

import (
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// takePicture counts the versions' figures, and notes since when the rows are a whole picture: one with fewer
// attempts than before is of a judge that still hears the reports.
func (t *Evaluator) takePicture(elapsed time.Duration, rows []evidence.Row) {
	attempts := int64(0)
	for _, row := range rows {
		attempts += row.Attempts()
	}
	if !t.begun || attempts < t.attempts {
		t.begun, t.since = true, elapsed
	}
	t.attempts = max(t.attempts, attempts)
}

// setLimits derives from the serving version's median of each route from when its answers are late.
func (t *Evaluator) setLimits(rows []evidence.Row) {
	medians := map[string]*evidence.Tally{}
	for _, row := range rows {
		if row.Version == t.serving && t.route(row.Route) != nil {
			if medians[row.Route] == nil {
				medians[row.Route] = &evidence.Tally{}
			}
			medians[row.Route].Add(row.Tally)
		}
	}
	for name, tally := range medians {
		if tally.Answered.Total() >= leastForMedian {
			t.routes[name].limits = t.cfg.limits(tally.Answered.Quantile(0.5))
		}
	}
}

func (c *Config) limits(median time.Duration) []time.Duration {
	var limits []time.Duration
	for _, factor := range c.SlowFactors {
		limits = append(limits, time.Duration(factor*float64(median))+c.Way)
	}
	return limits
}

// route gives what is known of a route; nil for those beyond mostRoutes.
func (t *Evaluator) route(name string) *route {
	known := t.routes[name]
	if known == nil && len(t.routes) < mostRoutes {
		known = &route{usual: newUsual(1 + len(t.cfg.SlowFactors)), cusums: t.cfg.cusums()}
		t.routes[name] = known
	}
	return known
}

// freshOf gives what the rows have more than before.
func (t *Evaluator) freshOf(elapsed time.Duration, rows []evidence.Row) []fresh {
	var of []fresh
	for _, row := range rows {
		route := t.route(row.Route)
		before := t.rows[row.Key]
		isKnown := row.Version == t.serving || row.Version == t.trial
		if route == nil || !isKnown || before == nil && len(t.rows) >= mostRows {
			continue
		}
		if before == nil {
			before = &followed{}
			t.rows[row.Key] = before
		}
		if row.Attempts() < before.counted.Attempts() {
			continue
		}
		if row.Version == t.trial && len(t.leafs) == 0 {
			t.firstTrial = elapsed
		}
		t.count(row, before, route)
		of = append(of, before.follow(row, t.limitsOf(row.Key, route, elapsed), elapsed, t.cfg))
	}
	return of
}

// limitsOf gives the limits of a row's route; wider ones for a version on trial whose leafs may be cold, and where the
// serving version gets too little to compare with at the same time. A leaf that starts later than the others is one
// leaf only.
func (t *Evaluator) limitsOf(key evidence.Key, route *route, elapsed time.Duration) []time.Duration {
	if key.Version != t.trial || len(route.limits) == 0 {
		return route.limits
	}
	factor := 1.0
	if elapsed-t.firstTrial < t.cfg.ColdFor {
		factor = t.cfg.ColdFactor
	}
	if route.usual.near[0].all < leastToCompare {
		factor = max(factor, aloneFactor)
	}
	limits := make([]time.Duration, len(route.limits))
	for i, limit := range route.limits {
		limits[i] = time.Duration(factor * float64(limit))
	}
	return limits
}

// count adds a row's growth to the figures of its version.
func (t *Evaluator) count(row evidence.Row, before *followed, route *route) {
	of := &t.figures[0]
	if row.Version == t.trial {
		of = &t.figures[1]
		t.leafs[row.Leaf] = true
	}
	of.Attempts += row.Attempts() - before.counted.Attempts()
	of.Failures += row.Failures - before.counted.Failures
	if len(route.limits) > 0 {
		limit := route.limits[len(route.limits)/2]
		slow, _ := row.Slow(limit)
		slowBefore, _ := before.timed.Slow(limit)
		of.Slow += max(0, slow-slowBefore)
	}
}

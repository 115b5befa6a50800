// Package verdict decides whether a new version of a service is good, bad or still undecided, by comparing how its
// leafs answer with how those of the serving version answer at the same time.
//
// For each route it weighs several signals: answers that failed, and answers that failed or took longer than a
// multiple of the serving version's median. Each signal is a sequential test (Page's cumulative sum) of a mixture of
// shares of bad answers against the baseline, the share that the serving version has.
//
// The package is pure computation: it owns only sums, starts no goroutine, reads no clock (callers pass the time
// since the spec) and does no I/O. Its input is the counts of package evidence.
package verdict

import (
	"math"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// Finding is the decision about a canary version.
type Finding string

// The findings. Bad is final; Good may turn into Bad.
const (
	Undecided Finding = "undecided"
	Good      Finding = "good"
	Bad       Finding = "bad"
)

// Signal is a kind of bad answer.
type Signal string

// The signals.
const (
	Failed Signal = "failed"
	Late   Signal = "failed or late"
)

// Totals are the counts of one version over all routes and leafs.
type Totals struct {
	Attempts int64
	Failures int64
	// Slow counts the answers that took longer than the middle one of the route's limits.
	Slow int64
}

// Evaluation is a finding and what it is based on.
type Evaluation struct {
	Finding Finding
	// Reason explains the finding in one sentence, with the figures.
	Reason  string
	Serving Totals
	Canary  Totals
	// Route is the route with the strongest evidence against the version; empty for all routes together.
	Route string
	// Signal is the kind of bad answer with the strongest evidence there.
	Signal Signal
	// Confidence is the probability, 0 to 1, that the version is bad by that signal alone, starting from even odds.
	Confidence float64
}

// Evaluator evaluates the canary version of one spec. It is not safe for concurrent use.
type Evaluator struct {
	cfg             Config
	serving, canary string
	duration        time.Duration

	lastSeen map[evidence.Key]*lastCounts
	routes   map[string]*route
	pooled   []*cusum
	leafs    map[string]bool
	finding  Finding
	// lastUpdate is the time of the last update, canarySeenAt the time of the first counts of the canary version;
	// both are since the spec.
	lastUpdate, canarySeenAt time.Duration
	// completeSince is the time from which the counts are complete, maxAttempts the highest number of attempts seen.
	completeSince time.Duration
	maxAttempts   int64
	hasStarted    bool
	totals        [2]Totals
	// weighedCanaryAttempts is the attempts at the canary version up to the previous update.
	weighedCanaryAttempts int64
}

// route is the state of one route.
type route struct {
	baseline *baseline
	cusums   []*cusum
	// limits are the latencies from which answers are late, one for each slow factor; empty while the median is
	// unknown.
	limits []time.Duration
}

// New returns an evaluator for the canary version beside the serving one, for a spec of the given duration.
func New(cfg Config, serving, canary string, duration time.Duration) *Evaluator {
	return &Evaluator{
		cfg: cfg, serving: serving, canary: canary, duration: duration, finding: Undecided,
		lastSeen: map[evidence.Key]*lastCounts{}, routes: map[string]*route{}, pooled: cfg.cusums(), leafs: map[string]bool{},
	}
}

// cusums returns the sums of one route, by signal: failures first, then one for each slow factor.
func (c *Config) cusums() []*cusum {
	all := []*cusum{newCusum(c.BadShares, c.LeastBadShare)}
	for range c.SlowFactors {
		all = append(all, newCusum(c.slowShares(), c.LeastSlowShare))
	}
	return all
}

// slowShares returns the shares that late answers are tested for. Much smaller shares than the smallest that must be
// found are left out: given enough time, any small difference between two good versions would show them.
func (c *Config) slowShares() []float64 {
	var shares []float64
	for _, share := range c.BadShares {
		if share >= c.LeastSlowShare/2 {
			shares = append(shares, share)
		}
	}
	return append(shares, c.LeastSlowShare)
}

// Update evaluates the cumulative counts of the whole fleet, one row a key, at a time since the spec.
func (e *Evaluator) Update(elapsed time.Duration, rows []evidence.Row) Evaluation {
	e.weighedCanaryAttempts = e.totals[1].Attempts
	e.trackCompleteness(elapsed, rows)
	e.setLimits(rows)
	added := e.increments(elapsed, rows)
	for _, route := range e.routes {
		route.baseline.decay(max(0, elapsed-e.lastUpdate), e.cfg.Recent)
	}
	e.lastUpdate = max(e.lastUpdate, elapsed)
	e.weigh(added, elapsed)
	worst := e.worst()
	e.find(elapsed, worst)
	return e.evaluation(worst)
}

// trackCompleteness notes since when the rows are complete. Fewer attempts than before mean that this evaluator node has only
// begun to receive reports.
func (e *Evaluator) trackCompleteness(elapsed time.Duration, rows []evidence.Row) {
	attempts := int64(0)
	for _, row := range rows {
		attempts += row.Attempts()
	}
	if !e.hasStarted || attempts < e.maxAttempts {
		e.hasStarted, e.completeSince = true, elapsed
	}
	e.maxAttempts = max(e.maxAttempts, attempts)
}

// weigh counts the serving version's answers first, so that the canary version is compared with the same moment.
func (e *Evaluator) weigh(added []increment, elapsed time.Duration) {
	e.observeServing(added)
	for _, one := range added {
		if one.key.Version == e.canary {
			e.weighCanary(one)
		}
	}
	for _, s := range e.allCusums() {
		s.restart(e.leafCap(elapsed))
	}
}

func (e *Evaluator) observeServing(added []increment) {
	for _, one := range added {
		if one.key.Version == e.serving {
			e.routes[one.key.Route].baseline.observe(one)
		}
	}
	for _, one := range added {
		if one.key.Version == e.serving {
			e.routes[one.key.Route].baseline.observeRecent(one)
		}
	}
	for _, route := range e.routes {
		route.baseline.trim()
	}
}

func (e *Evaluator) weighCanary(added increment) {
	route := e.routes[added.key.Route]
	for i, signal := range added.signals {
		share := route.baseline.share(i, added.key.Zone)
		if share > maxBaselineShare {
			continue
		}
		limit := math.Inf(1)
		if i > 0 {
			limit = maxWeightPerMoment * added.moments
		}
		route.cusums[i].observe(added.key.Leaf, signal, share, limit)
		e.pooled[i].observe(added.key.Leaf, signal, share, limit)
	}
}

// allCusums returns the sums of all routes and those of all routes together.
func (e *Evaluator) allCusums() []*cusum {
	all := append([]*cusum(nil), e.pooled...)
	for _, route := range e.routes {
		all = append(all, route.cusums...)
	}
	return all
}

// route returns the state of a route, or nil for routes beyond maxRoutes.
func (e *Evaluator) route(name string) *route {
	found := e.routes[name]
	if found == nil && len(e.routes) < maxRoutes {
		found = &route{baseline: newBaseline(1 + len(e.cfg.SlowFactors)), cusums: e.cfg.cusums()}
		e.routes[name] = found
	}
	return found
}

// Package verdict decides whether a canary version of a service is good, bad or undecided. It compares the answers of
// the canary's leafs with the answers of the serving version at the same time.
//
// For each route it tests several signals: answers that failed, and answers that failed or took longer than a multiple
// of the serving version's median. Each signal is a sequential test (Page's cumulative sum) of several shares of bad
// answers against the baseline, the serving version's share.
//
// The package is pure computation: it starts no goroutine, reads no clock (callers pass the time since the start of the
// spec) and does no I/O. Its input is the counts of package evidence.
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

const (
	Failed Signal = "failed"
	Late   Signal = "failed or late"
)

// Totals are the counts of one version over all routes and leafs.
type Totals struct {
	Attempts int64
	Failures int64
	// Slow counts the attempts that exceeded the middle limit of their route, including those cancelled after it.
	Slow int64
}

// Evaluation is a finding with its evidence.
type Evaluation struct {
	Finding Finding
	// Reason is the reason for the finding, one sentence with figures.
	Reason  string
	Serving Totals
	Canary  Totals
	// Route is the route with the strongest evidence against the version, empty for all routes together.
	Route string
	// Signal is the kind of bad answer with the strongest evidence on that route.
	Signal Signal
	// Confidence is the probability, 0 to 1, that the version is bad, based on that signal alone and even prior odds.
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
	// lastUpdate is the time of the last update, canarySeenAt the time of the first counts of the canary. Both are
	// relative to the start of the spec.
	lastUpdate, canarySeenAt time.Duration
	// completeSince is the time since which the counts are complete. maxAttempts is the highest number of attempts in
	// an update.
	completeSince time.Duration
	maxAttempts   int64
	hasStarted    bool
	totals        [2]Totals
	// weighedCanaryAttempts is the number of attempts at the canary up to the previous update.
	weighedCanaryAttempts int64
}

// route is the state of one route.
type route struct {
	baseline *baseline
	cusums   []*cusum
	// limits are the latencies above which answers are late, one per slow factor. It is empty while the median is
	// unknown.
	limits []time.Duration
}

// New returns an evaluator that compares the canary with the serving version, for a spec with the given duration.
func New(cfg Config, serving, canary string, duration time.Duration) *Evaluator {
	return &Evaluator{
		cfg: cfg, serving: serving, canary: canary, duration: duration, finding: Undecided,
		lastSeen: map[evidence.Key]*lastCounts{}, routes: map[string]*route{}, pooled: cfg.cusums(), leafs: map[string]bool{},
	}
}

// cusums returns new tests of one route, by signal: first failures, then one test per slow factor.
func (c *Config) cusums() []*cusum {
	all := []*cusum{newCusum(c.BadShares, c.MinBadShare)}
	for range c.SlowFactors {
		all = append(all, newCusum(c.slowShares(), c.MinSlowShare))
	}
	return all
}

// slowShares returns the tested shares of late answers. Shares much smaller than MinSlowShare are left out, because
// the test would eventually detect them in the small differences between two good versions.
func (c *Config) slowShares() []float64 {
	var shares []float64
	for _, share := range c.BadShares {
		if share >= c.MinSlowShare/2 {
			shares = append(shares, share)
		}
	}
	return append(shares, c.MinSlowShare)
}

// Update evaluates the cumulative counts of the whole fleet, one row per key. elapsed is the time since the start of
// the spec.
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
	e.updateFinding(elapsed, worst)
	return e.evaluation(worst)
}

// trackCompleteness updates completeSince. Fewer attempts than before mean that the counts are not complete, for
// example because this evaluator node has just started to receive reports.
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

// weigh adds the increments to the tests. It counts the serving version's answers first, so that the canary is compared
// with the same period.
func (e *Evaluator) weigh(added []increment, elapsed time.Duration) {
	e.observeServing(added)
	for _, row := range added {
		if row.key.Version == e.canary {
			e.weighCanary(row)
		}
	}
	for _, s := range e.allCusums() {
		s.restart(e.leafCap(elapsed))
	}
}

func (e *Evaluator) observeServing(added []increment) {
	for _, row := range added {
		if row.key.Version == e.serving {
			e.routes[row.key.Route].baseline.observe(row)
		}
	}
	for _, row := range added {
		if row.key.Version == e.serving {
			e.routes[row.key.Route].baseline.observeRecent(row)
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
			limit = maxWeightPerPause * added.pauses
		}
		route.cusums[i].observe(added.key.Leaf, signal, share, limit)
		e.pooled[i].observe(added.key.Leaf, signal, share, limit)
	}
}

// allCusums returns the tests of each route and the pooled tests.
func (e *Evaluator) allCusums() []*cusum {
	all := append([]*cusum(nil), e.pooled...)
	for _, route := range e.routes {
		all = append(all, route.cusums...)
	}
	return all
}

// route returns the state of a route, and creates it if necessary. It returns nil for routes beyond maxRoutes.
func (e *Evaluator) route(name string) *route {
	found := e.routes[name]
	if found == nil && len(e.routes) < maxRoutes {
		found = &route{baseline: newBaseline(1 + len(e.cfg.SlowFactors)), cusums: e.cfg.cusums()}
		e.routes[name] = found
	}
	return found
}

// Package verdict tells a bad version of a service from an unlucky one, by the counts of how its leafs and those of
// the serving version answer at the same time. It has no clock and keeps nothing but sums.
//
// Route by route it weighs several signals: answers that failed, and answers that failed or took longer than some
// multiples of the serving version's median. Each is a sequential test of a mixture of shares of bad answers against
// the serving version's usual share, which starts anew whenever it speaks for the version.
package verdict

import (
	"math"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// Finding is what the counts say of the version on trial.
type Finding string

// The findings. Bad is final; Good may turn into Bad.
const (
	Undecided Finding = "undecided"
	Good      Finding = "good"
	Bad       Finding = "bad"
)

// Totals are the counts of one version.
type Totals struct {
	Attempts int64
	Failures int64
	// Slow are the answers later than the middle one of the limits.
	Slow int64
}

// Judgement is a finding with what it was found by.
type Judgement struct {
	Finding Finding
	// Reason says it in a sentence with the figures.
	Reason  string
	Serving Totals
	Trial   Totals
	// Route is the route that speaks most against the version, empty for all routes together.
	Route string
	// Signal is what speaks most against it there.
	Signal Signal
	// Confidence is how likely the version is bad rather than good by that signal alone, 0 to 1, with neither likelier
	// at first.
	Confidence float64
}

// Evaluator is the trial of one order; not safe for concurrent use.
type Evaluator struct {
	cfg            Config
	serving, trial string
	duration       time.Duration

	rows    map[evidence.Key]*followed
	routes  map[string]*route
	pooled  []*cusum
	leafs   map[string]bool
	finding Finding
	// last is the time of the last update, firstTrial when the version on trial was first heard of.
	last, firstTrial time.Duration
	// since is when the picture began to be whole, attempts the most that were seen of it.
	since    time.Duration
	attempts int64
	begun    bool
	figures  [2]Totals
	// weighed is the attempts of the version on trial until the update before.
	weighed int64
}

// route is what is known of one route.
type route struct {
	usual  *usual
	cusums []*cusum
	// limits are those of the signals of late answers, empty until the usual latency is known.
	limits []time.Duration
}

// New begins the trial of a version beside the serving one, for an order of a duration.
func New(cfg Config, serving, trial string, duration time.Duration) *Evaluator {
	return &Evaluator{
		cfg: cfg, serving: serving, trial: trial, duration: duration, finding: Undecided,
		rows: map[evidence.Key]*followed{}, routes: map[string]*route{}, pooled: cfg.cusums(), leafs: map[string]bool{},
	}
}

// cusums makes those of one route, by signal.
func (c *Config) cusums() []*cusum {
	all := []*cusum{newCusum(c.BadShares, c.LeastBadShare)}
	for range c.SlowFactors {
		all = append(all, newCusum(c.slowShares(), c.LeastSlowShare))
	}
	return all
}

// slowShares are the shares that late answers are weighed by: smaller ones than the least that must be found would
// be shown by any small difference between the versions, given time.
func (c *Config) slowShares() []float64 {
	var shares []float64
	for _, share := range c.BadShares {
		if share >= c.LeastSlowShare/2 {
			shares = append(shares, share)
		}
	}
	return append(shares, c.LeastSlowShare)
}

// Update judges by the counts of the whole fleet so far, with one row for each key, at a time since the order.
func (t *Evaluator) Update(elapsed time.Duration, rows []evidence.Row) Judgement {
	t.weighed = t.figures[1].Attempts
	t.takePicture(elapsed, rows)
	t.setLimits(rows)
	of := t.freshOf(elapsed, rows)
	for _, route := range t.routes {
		route.usual.fade(max(0, elapsed-t.last), t.cfg.Recent)
	}
	t.last = max(t.last, elapsed)
	t.weigh(of, elapsed)
	worst := t.worst()
	t.find(elapsed, worst)
	return t.judgement(worst)
}

// weigh takes what the serving version did first, so that the version on trial is compared with the same time.
func (t *Evaluator) weigh(of []fresh, elapsed time.Duration) {
	t.observeServing(of)
	for _, f := range of {
		if f.key.Version == t.trial {
			t.weighTrial(f)
		}
	}
	for _, s := range t.all() {
		s.restart(t.mostOfLeaf(elapsed))
	}
}

func (t *Evaluator) observeServing(of []fresh) {
	for _, f := range of {
		if f.key.Version == t.serving {
			t.routes[f.key.Route].usual.observe(f)
		}
	}
	for _, f := range of {
		if f.key.Version == t.serving {
			t.routes[f.key.Route].usual.watch(f)
		}
	}
	for _, route := range t.routes {
		route.usual.sum()
	}
}

func (t *Evaluator) weighTrial(f fresh) {
	route := t.routes[f.key.Route]
	for i, signal := range f.signals {
		share := route.usual.share(i, f.key.Zone)
		if share > mostUsual {
			continue
		}
		most := math.Inf(1)
		if i > 0 {
			most = mostOfMoment * f.moments
		}
		route.cusums[i].observe(f.key.Leaf, signal, share, most)
		t.pooled[i].observe(f.key.Leaf, signal, share, most)
	}
}

// all gives the cusums of all routes.
func (t *Evaluator) all() []*cusum {
	all := append([]*cusum(nil), t.pooled...)
	for _, route := range t.routes {
		all = append(all, route.cusums...)
	}
	return all
}

// threshold is the level from which a version is bad. It grows with the answers, since a sum that starts anew
// has more chances to exceed it by accident; those of this update don't raise it, so that a bad one never excuses.
func (t *Evaluator) threshold() float64 {
	return t.firstThreshold() + math.Log1p(float64(t.weighed)/answersOfFalseAlarm)
}

// firstThreshold is the threshold of the first answers.
func (t *Evaluator) firstThreshold() float64 {
	if t.finding == Good {
		return -math.Log(t.cfg.FalseAlarmMoving)
	}
	return -math.Log(t.cfg.FalseAlarm)
}

// mostOfLeaf is the most that a leaf may give. A leaf that is the only one known of its version by the middle of the
// order is the version. Of several, the others' part of the threshold grows with the answers as it does.
func (t *Evaluator) mostOfLeaf(elapsed time.Duration) float64 {
	switch {
	case len(t.leafs) == 1 && elapsed > t.duration/2:
		return math.MaxFloat64
	case len(t.leafs) <= 2:
		return t.cfg.LeafPart * t.threshold()
	}
	return max(t.cfg.LeafPart*t.firstThreshold(), partOfMany*t.threshold())
}

package canary

import (
	"math"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Way makes a judge of a case.
type Way struct {
	Name string
	New  func(Case) Judge
}

// Ways gives the ways that are weighed: the package's own first.
func Ways() []Way {
	return []Way{
		{"mixture", func(c Case) Judge { return newTrial(verdict.DefaultConfig(), c) }},
		{"one share", func(c Case) Judge { return newTrial(oneShare(), c) }},
		{"fixed", func(c Case) Judge { return &fixed{duration: c.withDefaults().Duration, finding: verdict.Undecided} }},
	}
}

// oneShare is a sequential probability ratio test of a single share of bad answers.
func oneShare() verdict.Config {
	cfg := verdict.DefaultConfig()
	cfg.BadShares = []float64{cfg.LeastSlowShare}
	return cfg
}

type trial struct{ *verdict.Evaluator }

func newTrial(cfg verdict.Config, of Case) Judge {
	return trial{verdict.New(cfg, Serving, OnTrial, of.withDefaults().Duration)}
}

// Update gives the finding alone.
func (t trial) Update(elapsed time.Duration, rows []evidence.Row) verdict.Finding {
	return t.Evaluator.Update(elapsed, rows).Finding
}

// fixed compares the shares of bad answers at a few times of the order by Fisher's exact test, without the leaf of
// the version on trial that did worst.
type fixed struct {
	duration time.Duration
	checked  int
	finding  verdict.Finding
}

// The times at which fixed compares, as parts of the order, and below which chance it finds a version bad or good.
var checks = []float64{0.15, 0.3, 0.45, 0.62, 0.8, 0.95}

const (
	goodCheck  = 3
	badChance  = 0.0005
	goodChance = 0.05
	// fixedFactor leaves room for cold leafs, since the counts are of the order so far.
	fixedFactor = 3
)

// Update compares when a check is due.
func (f *fixed) Update(elapsed time.Duration, rows []evidence.Row) verdict.Finding {
	if f.finding == verdict.Bad || f.checked == len(checks) || float64(elapsed) < checks[f.checked]*float64(f.duration) {
		return f.finding
	}
	f.checked++
	chance := leastChance(rows)
	switch {
	case chance < badChance:
		f.finding = verdict.Bad
	case f.checked > goodCheck && chance > goodChance && f.finding == verdict.Undecided:
		f.finding = verdict.Good
	}
	return f.finding
}

// leastChance is the least over routes and signals.
func leastChance(rows []evidence.Row) float64 {
	least := 1.0
	for _, route := range routesOf(rows) {
		var serving evidence.Tally
		for _, row := range rows {
			if row.Route == route && row.Version == Serving {
				serving.Add(row.Tally)
			}
		}
		limit := fixedFactor * serving.Answered.Quantile(0.5)
		failures := func(t evidence.Tally) (int64, int64) { return t.Failures, t.Attempts() }
		slow := func(t evidence.Tally) (int64, int64) { return t.Slow(limit) }
		least = min(least, chanceOf(rows, route, serving, failures), chanceOf(rows, route, serving, slow))
	}
	return least
}

func routesOf(rows []evidence.Row) []string {
	var routes []string
	seen := map[string]bool{}
	for _, row := range rows {
		if !seen[row.Route] {
			seen[row.Route] = true
			routes = append(routes, row.Route)
		}
	}
	return routes
}

func chanceOf(rows []evidence.Row, route string, serving evidence.Tally, signal func(evidence.Tally) (int64, int64)) float64 {
	var bad, all, worstBad, worstAll int64
	for _, row := range rows {
		if row.Route != route || row.Version != OnTrial {
			continue
		}
		rowBad, rowAll := signal(row.Tally)
		bad, all = bad+rowBad, all+rowAll
		if rowBad > worstBad {
			worstBad, worstAll = rowBad, rowAll
		}
	}
	servingBad, servingAll := signal(serving)
	return fisher(bad-worstBad, all-worstAll, servingBad, servingAll)
}

// fisher gives the chance of at least so many bad answers among those of one version, if both are alike.
func fisher(bad, all, otherBad, otherAll int64) float64 {
	sum := 0.0
	totalBad, total := bad+otherBad, all+otherAll
	for k := bad; k <= min(all, totalBad); k++ {
		sum += math.Exp(choose(totalBad, k) + choose(total-totalBad, all-k) - choose(total, all))
	}
	return min(1, sum)
}

// choose gives the logarithm of a binomial coefficient.
func choose(n, k int64) float64 {
	if k < 0 || k > n {
		return math.Inf(-1)
	}
	return lgamma(n+1) - lgamma(k+1) - lgamma(n-k+1)
}

func lgamma(n int64) float64 {
	value, _ := math.Lgamma(float64(n))
	return value
}

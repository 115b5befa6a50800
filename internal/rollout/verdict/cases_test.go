package verdict_test

import (
	"testing"

	"github.com/portgauge/portgauge/internal/rollout/verdict/verdicttest"
)

const seeds = 24

func weigh(of verdicttest.Case) verdicttest.Measure { return verdicttest.Repeat(of, seeds) }

// A good version is rarely refused for faults that are not its own.
func TestGoodIsFoundGoodInTime(t *testing.T) {
	for _, incident := range verdicttest.Incidents() {
		for _, leafs := range []int{3, 30} {
			of := verdicttest.Case{Name: string(incident), PerSecond: 500, Leafs: leafs, Incident: incident}
			t.Run(of.Name, func(t *testing.T) {
				m := weigh(of)
				if m.Wrong() > 0.1 {
					t.Fatal(m.String())
				}
				if m.GoodFractions[len(m.GoodFractions)/2] > 0.65 || m.GoodFractions[0] < 0.5 {
					t.Fatal(m.String())
				}
			})
		}
	}
}

// With few requests a fault elsewhere may leave a good version undecided, but it is rarely found bad. Failures of both
// versions are the hardest: all requests of a moment go to one version, so there is little to compare with.
func TestGoodWithFewRequestsIsNotFoundBad(t *testing.T) {
	for _, incident := range verdicttest.Incidents() {
		most := seeds / 10
		if incident == verdicttest.BothFail {
			most = seeds / 4
		}
		for _, rate := range []float64{1, 5, 40} {
			of := verdicttest.Case{Name: string(incident), PerSecond: rate, Incident: incident}
			t.Run(of.Name, func(t *testing.T) {
				m := weigh(of)
				if m.Bad > most {
					t.Fatal(m.String())
				}
			})
		}
	}
}

// bad are faults of a version, with the most bad answers until it is found bad: median and 95th percentile over the seeds.
var bad = []struct {
	of           verdicttest.Case
	median, most int
}{
	{verdicttest.Case{Name: "fails 0.05", PerSecond: 500, Fault: verdicttest.Fault{Failing: 0.05}}, 12, 25},
	{verdicttest.Case{Name: "fails 0.2", PerSecond: 40, Fault: verdicttest.Fault{Failing: 0.2}}, 8, 15},
	{verdicttest.Case{Name: "fails 0.4", PerSecond: 5, Fault: verdicttest.Fault{Failing: 0.4}}, 8, 12},
	{verdicttest.Case{Name: "fails 1", PerSecond: 5, Fault: verdicttest.Fault{Failing: 1}}, 8, 12},
	{verdicttest.Case{Name: "fails 1, many leafs", PerSecond: 500, Leafs: 30, Fault: verdicttest.Fault{Failing: 1}}, 15, 25},
	{verdicttest.Case{Name: "fails from half on", PerSecond: 40, Fault: verdicttest.Fault{Failing: 0.4, From: 0.5}}, 10, 20},
	{verdicttest.Case{Name: "fails while switching", PerSecond: 40, Fault: verdicttest.Fault{Failing: 0.4, From: 0.8}}, 15, 30},
	{verdicttest.Case{Name: "fails on one route", PerSecond: 40, Routes: 2, Fault: verdicttest.Fault{Failing: 0.4, LastRoute: true}}, 8, 15},
	{verdicttest.Case{Name: "fails under load", PerSecond: 40, Fault: verdicttest.Fault{Failing: 0.4, UnderLoad: true}}, 10, 15},
	{verdicttest.Case{Name: "fails beside a grey serving leaf", PerSecond: 40, Incident: verdicttest.OldGrayLeaf, Fault: verdicttest.Fault{Failing: 0.2}}, 12, 20},
	{verdicttest.Case{Name: "all 3 times slower", PerSecond: 40, Fault: verdicttest.Fault{Slow: 3, SlowShare: 1}}, 50, 70},
	{verdicttest.Case{Name: "all 8 times slower", PerSecond: 5, Fault: verdicttest.Fault{Slow: 8, SlowShare: 1}}, 20, 35},
	{verdicttest.Case{Name: "some 5 times slower", PerSecond: 500, Fault: verdicttest.Fault{Slow: 5, SlowShare: 0.3}}, 40, 80},
	{verdicttest.Case{Name: "slow on one route", PerSecond: 500, Routes: 2, Fault: verdicttest.Fault{Slow: 4, SlowShare: 0.5, LastRoute: true}}, 40, 80},
	{verdicttest.Case{Name: "slow from half on", PerSecond: 500, Fault: verdicttest.Fault{Slow: 4, SlowShare: 0.5, From: 0.5}}, 40, 80},
}

func TestBadIsFoundBadByFewAnswers(t *testing.T) {
	for _, g := range bad {
		t.Run(g.of.Name, func(t *testing.T) {
			m := weigh(g.of)
			if m.Bad < seeds*9/10 || m.Good > 0 {
				t.Fatal(m.String())
			}
			if m.BadAnswers[len(m.BadAnswers)/2] > g.median || m.BadAnswers[len(m.BadAnswers)*95/100] > g.most {
				t.Fatal(m.String())
			}
		})
	}
}

// A bad version with too few answers to be found bad is at least rarely found good.
func TestBadWithFewRequestsRarelyServes(t *testing.T) {
	for _, of := range []verdicttest.Case{
		{Name: "fails 0.2", PerSecond: 5, Fault: verdicttest.Fault{Failing: 0.2}},
		{Name: "fails 1", PerSecond: 1, Fault: verdicttest.Fault{Failing: 1}},
		{Name: "all 5 times slower", PerSecond: 5, Fault: verdicttest.Fault{Slow: 5, SlowShare: 1}},
	} {
		t.Run(of.Name, func(t *testing.T) {
			m := weigh(of)
			if m.Wrong() > 0.1 {
				t.Fatal(m.String())
			}
		})
	}
}

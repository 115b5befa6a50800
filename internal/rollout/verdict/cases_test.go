package verdict_test

import (
	"testing"

	"github.com/portgauge/portgauge/internal/rollout/verdict/verdicttest"
)

const seeds = 24

func repeat(c verdicttest.Case) verdicttest.Summary { return verdicttest.Repeat(c, seeds) }

// A good version is rarely rejected because of incidents that it does not cause.
func TestGoodVersionIsFoundGoodInTime(t *testing.T) {
	for _, incident := range verdicttest.Incidents() {
		for _, leafs := range []int{3, 30} {
			c := verdicttest.Case{Name: string(incident), PerSecond: 500, Leafs: leafs, Incident: incident}
			t.Run(c.Name, func(t *testing.T) {
				m := repeat(c)
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

// With few requests an incident may leave a good version undecided. The bound is higher for failures of both versions:
// all requests of a turn go to one version, so there are few answers to compare with.
func TestGoodVersionWithFewRequestsIsRarelyFoundBad(t *testing.T) {
	for _, incident := range verdicttest.Incidents() {
		limit := seeds / 10
		if incident == verdicttest.BothFail {
			limit = seeds / 4
		}
		for _, rate := range []float64{1, 5, 40} {
			c := verdicttest.Case{Name: string(incident), PerSecond: rate, Incident: incident}
			t.Run(c.Name, func(t *testing.T) {
				m := repeat(c)
				if m.Bad > limit {
					t.Fatal(m.String())
				}
			})
		}
	}
}

// badVersions are versions with a fault, and the maximum number of bad answers until they are found bad: the median and
// the 95th percentile over the seeds.
var badVersions = []struct {
	testCase             verdicttest.Case
	median, percentile95 int
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
	{verdicttest.Case{Name: "fails beside a gray serving leaf", PerSecond: 40, Incident: verdicttest.OldGrayLeaf, Fault: verdicttest.Fault{Failing: 0.2}}, 12, 20},
	{verdicttest.Case{Name: "all 3 times slower", PerSecond: 40, Fault: verdicttest.Fault{Slow: 3, SlowShare: 1}}, 50, 70},
	{verdicttest.Case{Name: "all 8 times slower", PerSecond: 5, Fault: verdicttest.Fault{Slow: 8, SlowShare: 1}}, 20, 35},
	{verdicttest.Case{Name: "some 5 times slower", PerSecond: 500, Fault: verdicttest.Fault{Slow: 5, SlowShare: 0.3}}, 40, 80},
	{verdicttest.Case{Name: "slow on one route", PerSecond: 500, Routes: 2, Fault: verdicttest.Fault{Slow: 4, SlowShare: 0.5, LastRoute: true}}, 40, 80},
	{verdicttest.Case{Name: "slow from half on", PerSecond: 500, Fault: verdicttest.Fault{Slow: 4, SlowShare: 0.5, From: 0.5}}, 40, 80},
}

func TestBadVersionIsFoundBadByFewAnswers(t *testing.T) {
	for _, b := range badVersions {
		t.Run(b.testCase.Name, func(t *testing.T) {
			m := repeat(b.testCase)
			if m.Bad < seeds*9/10 || m.Good > 0 {
				t.Fatal(m.String())
			}
			if m.BadAnswers[len(m.BadAnswers)/2] > b.median || m.BadAnswers[len(m.BadAnswers)*95/100] > b.percentile95 {
				t.Fatal(m.String())
			}
		})
	}
}

// A bad version with too few answers to be found bad is rarely found good.
func TestBadVersionWithFewRequestsIsRarelyFoundGood(t *testing.T) {
	for _, c := range []verdicttest.Case{
		{Name: "fails 0.2", PerSecond: 5, Fault: verdicttest.Fault{Failing: 0.2}},
		{Name: "fails 1", PerSecond: 1, Fault: verdicttest.Fault{Failing: 1}},
		{Name: "all 5 times slower", PerSecond: 5, Fault: verdicttest.Fault{Slow: 5, SlowShare: 1}},
	} {
		t.Run(c.Name, func(t *testing.T) {
			m := repeat(c)
			if m.Wrong() > 0.1 {
				t.Fatal(m.String())
			}
		})
	}
}

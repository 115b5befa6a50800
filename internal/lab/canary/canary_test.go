package canary

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// nobody never finds anything.
type nobody struct{}

func (nobody) Update(time.Duration, []evidence.Row) verdict.Finding { return verdict.Undecided }

// An unproven version stays below what the nodes let it have.
func TestUnprovenVersionGetsItsShareOnly(t *testing.T) {
	is := is.New(t)
	for _, rate := range rates {
		outcome := Play(Case{PerSecond: rate}, 1, nobody{})
		most := share*rate*12 + slack
		is.True(float64(outcome.Answers) <= most)
		is.True(float64(outcome.Answers) >= 0.2*math.Min(most, rate*12))
	}
}

func TestFaultsShowAsTold(t *testing.T) {
	is := is.New(t)
	of := Case{PerSecond: 500, Fault: Fault{Failing: 0.2, From: 0.5}}
	outcome := Play(of, 1, nobody{})
	is.True(outcome.BadAnswers > 0 && outcome.BadAnswers < outcome.Answers/5)
	of.Fault = Fault{}
	is.Equal(Play(of, 1, nobody{}).BadAnswers, 0)
}

func TestFisherGivesKnownChances(t *testing.T) {
	is := is.New(t)
	is.True(math.Abs(fisher(3, 4, 1, 4)-17.0/70) < 1e-9)
	is.True(math.Abs(fisher(0, 4, 4, 4)-1) < 1e-9)
	is.Equal(fisher(0, 0, 0, 0), 1.0)
}

// Each way that is weighed tells the plainest cases apart.
func TestWaysTellPlainCasesApart(t *testing.T) {
	const seeds = 8
	good := Case{Name: "good", PerSecond: 500, Leafs: 30}
	bad := Case{Name: "bad", PerSecond: 500, Leafs: 30, Fault: Fault{Failing: 1}}
	for _, of := range []Case{good, bad} {
		measured, err := WeighAll(context.Background(), of, Ways(), seeds)
		is.New(t).NoErr(err)
		for _, m := range measured {
			if m.Wrong() > 0.25 {
				t.Error(m.String())
			}
		}
	}
}

package verdicttest

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// nobody is an Evaluator that never decides.
type nobody struct{}

func (nobody) Update(time.Duration, []evidence.Row) verdict.Finding { return verdict.Undecided }

// A version not yet found good gets no more than its share and the slack.
func TestUnprovenVersionGetsItsShareOnly(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{1, 5, 40, 500} {
		outcome := Simulate(Case{PerSecond: rate}, 1, nobody{})
		most := share*rate*12 + slack
		is.True(float64(outcome.Answers) <= most)
		is.True(float64(outcome.Answers) >= 0.2*math.Min(most, rate*12))
	}
}

func TestFaultsShowAsTold(t *testing.T) {
	is := is.New(t)
	of := Case{PerSecond: 500, Fault: Fault{Failing: 0.2, From: 0.5}}
	outcome := Simulate(of, 1, nobody{})
	is.True(outcome.BadAnswers > 0 && outcome.BadAnswers < outcome.Answers/5)
	of.Fault = Fault{}
	is.Equal(Simulate(of, 1, nobody{}).BadAnswers, 0)
}

// The default configuration distinguishes the plainest cases.
func TestWaysTellPlainCasesApart(t *testing.T) {
	const seeds = 8
	good := Case{Name: "good", PerSecond: 500, Leafs: 30}
	bad := Case{Name: "bad", PerSecond: 500, Leafs: 30, Fault: Fault{Failing: 1}}
	for _, of := range []Case{good, bad} {
		m := Repeat(of, seeds)
		if m.Wrong() > 0.25 {
			t.Error(m.String())
		}
	}
}

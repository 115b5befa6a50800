package verdicttest

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// undecidedEvaluator is an Evaluator that never decides.
type undecidedEvaluator struct{}

func (undecidedEvaluator) Update(time.Duration, []evidence.Row) verdict.Finding {
	return verdict.Undecided
}

// Before a version is found good it receives no more than its share plus the slack.
func TestUndecidedVersionStaysWithinBound(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{1, 5, 40, 500} {
		outcome := Simulate(Case{PerSecond: rate}, 1, undecidedEvaluator{})
		limit := share*rate*12 + slack
		is.True(float64(outcome.Answers) <= limit)
		is.True(float64(outcome.Answers) >= 0.2*math.Min(limit, rate*12))
	}
}

func TestFaultsMakeAnswersBad(t *testing.T) {
	is := is.New(t)
	c := Case{PerSecond: 500, Fault: Fault{Failing: 0.2, From: 0.5}}
	outcome := Simulate(c, 1, undecidedEvaluator{})
	is.True(outcome.BadAnswers > 0 && outcome.BadAnswers < outcome.Answers/5)
	c.Fault = Fault{}
	is.Equal(Simulate(c, 1, undecidedEvaluator{}).BadAnswers, 0)
}

// The default configuration distinguishes a good version from a version that always fails.
func TestDefaultConfigDistinguishesGoodAndBad(t *testing.T) {
	const seeds = 8
	good := Case{Name: "good", PerSecond: 500, Leafs: 30}
	bad := Case{Name: "bad", PerSecond: 500, Leafs: 30, Fault: Fault{Failing: 1}}
	for _, c := range []Case{good, bad} {
		m := Repeat(c, seeds)
		if m.Wrong() > 0.25 {
			t.Error(m.String())
		}
	}
}

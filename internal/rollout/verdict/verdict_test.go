package verdict_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
	"github.com/portgauge/portgauge/internal/rollout/verdict/verdicttest"
)

func TestVersionWithoutFailuresIsGoodAfterGoodFrom(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	is.Equal(update(evaluator, c, 0, specDuration/2, func() { c.both(3) }).Finding, verdict.Undecided)
	evaluation := update(evaluator, c, specDuration/2, specDuration*65/100, func() { c.both(3) })
	is.Equal(evaluation.Finding, verdict.Good)
	is.Equal(evaluation.Canary.Failures, int64(0))
	is.True(evaluation.Canary.Attempts > 0 && evaluation.Serving.Attempts == 10*evaluation.Canary.Attempts)
}

func TestFailuresMakeVersionBadWithReason(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	update(evaluator, c, 0, time.Second, func() { c.both(3) })
	for leaf := range leafs {
		c.answers("v2", leaf, 3, 3, normalLatency)
	}
	evaluation := evaluator.Update(2*time.Second, c.rows())
	is.Equal(evaluation.Finding, verdict.Bad)
	is.Equal(evaluation.Signal, verdict.Failed)
	is.Equal(evaluation.Canary.Failures, int64(9))
	is.True(evaluation.Confidence > 0.999)
	is.True(strings.Contains(evaluation.Reason, "9 of 36 failed"))
}

func TestBadIsFinal(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	update(evaluator, c, 0, time.Second, func() { c.both(1) })
	for leaf := range leafs {
		c.answers("v2", leaf, 5, 5, normalLatency)
	}
	is.Equal(evaluator.Update(2*time.Second, c.rows()).Finding, verdict.Bad)
	is.Equal(update(evaluator, c, 3*time.Second, specDuration, func() { c.both(100) }).Finding, verdict.Bad)
}

func TestOneBadLeafDoesNotMakeVersionBad(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	evaluation := update(evaluator, c, 0, specDuration*65/100, func() {
		c.both(3)
		c.answers("v2", 0, 20, 20, 8*normalLatency)
	})
	is.Equal(evaluation.Finding, verdict.Good)
}

// A slow leaf and a paused leaf together do not make a version bad, whenever the pause occurs.
func TestSlowLeafAndPausedLeafDoNotMakeVersionBad(t *testing.T) {
	is := is.New(t)
	for pause := 5 * time.Second; pause < specDuration; pause += time.Second / 2 {
		evaluator, c := newEvaluator(), counts{}
		update(evaluator, c, 0, pause, func() {
			c.both(1)
			c.answers("v2", 0, 5, 0, 8*normalLatency)
		})
		c.answers("v2", 1, 10, 0, 10*normalLatency)
		is.True(evaluator.Update(pause+time.Second/2, c.rows()).Finding != verdict.Bad)
	}
}

// A long burst that makes nearly all answers of both versions late does not make a version bad.
func TestLongBurstDoesNotMakeVersionBad(t *testing.T) {
	m := repeat(verdicttest.Case{Name: "long burst", PerSecond: 200, Duration: 2 * time.Minute, Incident: verdicttest.Burst})
	if m.Wrong() > 0.1 {
		t.Fatal(m.String())
	}
}

// A version whose only leaf is bad is found bad, but not before half of the spec.
func TestSingleBadLeafMakesVersionBadAfterHalf(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	grow := func() {
		c.answers("v1", 0, 20, 0, normalLatency)
		c.answers("v2", 0, 2, 2, normalLatency)
	}
	is.Equal(update(evaluator, c, 0, specDuration/2, grow).Finding, verdict.Undecided)
	is.Equal(update(evaluator, c, specDuration/2, specDuration, grow).Finding, verdict.Bad)
}

func TestGoodVersionTurnsBadWhileSwitching(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	is.Equal(update(evaluator, c, 0, specDuration*65/100, func() { c.both(3) }).Finding, verdict.Good)
	for leaf := range leafs {
		c.answers("v2", leaf, 40, 8, normalLatency)
	}
	is.Equal(evaluator.Update(specDuration*7/10, c.rows()).Finding, verdict.Bad)
}

// A rare route does not delay a finding that is supported by another route.
func TestRareRouteDoesNotDelayFinding(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	rare := evidence.Row{Key: evidence.Key{Service: "s", SpecID: 1, Route: "/rare", Version: "v2", Leaf: "v2-1"}}
	rare.Observe(false, normalLatency)
	var evaluation verdict.Evaluation
	for at := time.Duration(0); at <= specDuration*65/100; at += 500 * time.Millisecond {
		c.both(3)
		evaluation = evaluator.Update(at, append(c.rows(), rare))
	}
	is.Equal(evaluation.Finding, verdict.Good)
}

// A route with half of the serving version's answers is not rare, even if the canary has few answers there. The canary
// is not good before it has answered on the route, and with few answers not before GoodOnLittleEvidenceFrom.
func TestRouteWithServingTrafficIsNotRare(t *testing.T) {
	is := is.New(t)
	for _, seen := range []struct {
		answers int
		from    float64
	}{{0, 2}, {2, 2}, {10, 0.75}, {200, 0.6}} {
		evaluator, c := newEvaluator(), counts{}
		var found float64
		for at := time.Duration(0); at <= specDuration && found == 0; at += 500 * time.Millisecond {
			c.both(3)
			if evaluator.Update(at, append(c.rows(), otherRoute(c, seen.answers)...)).Finding == verdict.Good {
				found = float64(at) / float64(specDuration)
			}
		}
		is.Equal(found > 0, seen.from <= 1)
		if found > 0 {
			is.True(found >= seen.from && found <= seen.from+0.05)
		}
	}
}

// otherRoute returns rows of another route, with as many answers of the serving version as on the first route, and the
// given number of answers of the canary version.
func otherRoute(c counts, answers int) []evidence.Row {
	rows := c.rows()
	result := rows[:0]
	for _, row := range rows {
		if row.Version == "v1" {
			row.Route = "/other"
			result = append(result, row)
		}
	}
	for leaf := range leafs {
		row := evidence.Row{Key: evidence.Key{Service: "s", SpecID: 1, Route: "/other", Version: "v2", Leaf: fmt.Sprint("v2-", leaf)}}
		for range (answers + leaf) / leafs {
			row.Observe(false, normalLatency)
		}
		result = append(result, row)
	}
	return result
}

func TestVersionWithoutCountsIsUndecided(t *testing.T) {
	is := is.New(t)
	evaluator := newEvaluator()
	for at := time.Duration(0); at <= specDuration; at += time.Second {
		is.Equal(evaluator.Update(at, nil).Finding, verdict.Undecided)
	}
}

func TestVersionWithoutAnswersIsNotGood(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	evaluation := update(evaluator, c, 0, specDuration, func() {
		for leaf := range leafs {
			c.answers("v1", leaf, 10, 0, normalLatency)
			c.answers("v2", leaf, 0, 0, normalLatency)
			c.cancel("v2", leaf, 3, time.Millisecond)
		}
	})
	is.Equal(evaluation.Finding, verdict.Undecided)
}

// Attempts that were cancelled before a limit do not reduce the share of failures.
func TestCancelledAttemptsDoNotHideFailures(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	update(evaluator, c, 0, time.Second, func() { c.both(3) })
	for leaf := range leafs {
		c.answers("v2", leaf, 3, 3, normalLatency)
		c.cancel("v2", leaf, 1000, time.Millisecond)
	}
	is.Equal(evaluator.Update(2*time.Second, c.rows()).Finding, verdict.Bad)
}

// An evaluator node that has just started does not find a version good, because the reports of other nodes may be
// missing.
func TestVersionIsNotGoodBeforeCountsAreComplete(t *testing.T) {
	is := is.New(t)
	c := counts{}
	c.both(40)
	evaluator := newEvaluator()
	is.Equal(evaluator.Update(specDuration*7/10, c.rows()).Finding, verdict.Undecided)
	for leaf := range leafs {
		c.answers("v2", leaf, 30, 10, normalLatency)
	}
	is.Equal(evaluator.Update(specDuration*7/10+time.Second/2, c.rows()).Finding, verdict.Bad)
}

func TestVersionIsNotGoodWhileRowsShrink(t *testing.T) {
	is := is.New(t)
	evaluator, c, partial := newEvaluator(), counts{}, counts{}
	update(evaluator, c, 0, specDuration/2, func() { c.both(3) })
	partial.both(5)
	is.Equal(update(evaluator, partial, specDuration/2, specDuration, func() {}).Finding, verdict.Undecided)
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(verdict.DefaultConfig().Validate())
	named := map[string]bool{}
	for _, fault := range failure.Faults(verdict.Config{RoundTrip: -1, ColdFor: -1, Settle: -1, Correlation: 2, SlowFactors: []float64{0.5}}.Validate()) {
		named[fault.Field] = true
	}
	is.Equal(len(named), 18)
}

// drawCounts draws counts for both versions and adds them to c.
func drawCounts(t *rapid.T, c counts) {
	for leaf := range leafs {
		n := rapid.IntRange(0, 30).Draw(t, "answers")
		failed := rapid.IntRange(0, n).Draw(t, "failed")
		took := time.Duration(rapid.IntRange(1, 10).Draw(t, "took")) * normalLatency
		c.answers("v1", leaf, rapid.IntRange(0, 100).Draw(t, "serving"), rapid.IntRange(0, 3).Draw(t, "serving failed"), normalLatency)
		c.answers("v2", leaf, n, failed, took)
	}
}

// An additional bad answer in the last update does not turn a bad finding into another one.
func TestAdditionalBadAnswerKeepsVersionBad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := counts{}
		fewer, more := newEvaluator(), newEvaluator()
		at := time.Duration(rapid.IntRange(0, 12).Draw(t, "at")) * time.Second
		for range rapid.IntRange(0, 3).Draw(t, "updates") {
			drawCounts(t, c)
			fewer.Update(at, c.rows())
			more.Update(at, c.rows())
			at += time.Second
		}
		drawCounts(t, c)
		finding := fewer.Update(at, c.rows()).Finding
		c.answers("v2", rapid.IntRange(0, leafs-1).Draw(t, "leaf"), 1, 1, normalLatency)
		if got := more.Update(at, c.rows()).Finding; finding == verdict.Bad && got != verdict.Bad {
			t.Fatalf("bad, but %s after one more bad answer", got)
		}
	})
}

// Arbitrary rows in any order cause no panic. Bad is final, and good does not become undecided.
func TestFindingsStayConsistentForArbitraryRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evaluator, found := newEvaluator(), verdict.Undecided
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			c := counts{}
			drawCounts(t, c)
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * time.Second
			evaluation := evaluator.Update(at, c.rows())
			if found == verdict.Bad && evaluation.Finding != verdict.Bad || found == verdict.Good && evaluation.Finding == verdict.Undecided {
				t.Fatalf("%s after %s", evaluation.Finding, found)
			}
			if evaluation.Confidence < 0 || evaluation.Confidence > 1 || evaluation.Confidence != evaluation.Confidence {
				t.Fatalf("confidence %f is not in 0 to 1", evaluation.Confidence)
			}
			found = evaluation.Finding
		}
	})
}

// A version that was found good on a few answers does not stay good if it fails while the requests move to it.
func TestVersionThatFailsWhileRequestsMoveIsNotGood(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	number := 0
	found := update(evaluator, c, 0, specDuration*9/10, func() {
		c.answers("v1", number%2, 8, 0, normalLatency)
		if number%2 == 0 {
			c.answers("v2", number/2%leafs, 1, 0, normalLatency)
		}
		number++
	})
	is.Equal(found.Finding, verdict.Good)
	c.answers("v1", 0, 33, 0, normalLatency)
	for leaf, answers := range []int{6, 6, 5} {
		c.answers("v2", leaf, answers, 1, normalLatency)
	}
	is.True(evaluator.Update(specDuration, c.rows()).Finding != verdict.Good)
}

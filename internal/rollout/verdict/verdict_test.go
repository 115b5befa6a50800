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

func TestCleanVersionIsGoodButNotBeforeHalf(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	is.Equal(feed(evaluator, c, 0, specDuration/2, func() { c.both(3) }).Finding, verdict.Undecided)
	j := feed(evaluator, c, specDuration/2, specDuration*65/100, func() { c.both(3) })
	is.Equal(j.Finding, verdict.Good)
	is.Equal(j.Canary.Failures, int64(0))
	is.True(j.Canary.Attempts > 0 && j.Serving.Attempts == 10*j.Canary.Attempts)
}

func TestBadIsFoundByFailuresAndTold(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	feed(evaluator, c, 0, time.Second, func() { c.both(3) })
	for leaf := range leafs {
		c.answers("v2", leaf, 3, 3, normalLatency)
	}
	j := evaluator.Update(2*time.Second, c.rows())
	is.Equal(j.Finding, verdict.Bad)
	is.Equal(j.Signal, verdict.Failed)
	is.Equal(j.Canary.Failures, int64(9))
	is.True(j.Confidence > 0.999)
	is.True(strings.Contains(j.Reason, "9 of 36 failed"))
}

func TestBadStays(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	feed(evaluator, c, 0, time.Second, func() { c.both(1) })
	for leaf := range leafs {
		c.answers("v2", leaf, 5, 5, normalLatency)
	}
	is.Equal(evaluator.Update(2*time.Second, c.rows()).Finding, verdict.Bad)
	is.Equal(feed(evaluator, c, 3*time.Second, specDuration, func() { c.both(100) }).Finding, verdict.Bad)
}

func TestOneLeafDoesNotCondemn(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	j := feed(evaluator, c, 0, specDuration*65/100, func() {
		c.both(3)
		c.answers("v2", 0, 20, 20, 8*normalLatency)
	})
	is.Equal(j.Finding, verdict.Good)
}

// A leaf that fails throughout and a pause of another together do not condemn a version, whenever the pause happens.
func TestPauseBesideAnIllLeafDoesNotCondemn(t *testing.T) {
	is := is.New(t)
	for pause := 5 * time.Second; pause < specDuration; pause += time.Second / 2 {
		evaluator, c := newEvaluator(), counts{}
		feed(evaluator, c, 0, pause, func() {
			c.both(1)
			c.answers("v2", 0, 5, 0, 8*normalLatency)
		})
		c.answers("v2", 1, 10, 0, 10*normalLatency)
		is.True(evaluator.Update(pause+time.Second/2, c.rows()).Finding != verdict.Bad)
	}
}

// A long burst that makes nearly all answers of both versions late condemns neither.
func TestLongBurstDoesNotCondemn(t *testing.T) {
	m := weigh(verdicttest.Case{Name: "long burst", PerSecond: 200, Duration: 2 * time.Minute, Incident: verdicttest.Burst})
	if m.Wrong() > 0.1 {
		t.Fatal(m.String())
	}
}

// A version of which only one leaf answers is evaluated by that leaf.
func TestOnlyLeafCondemnsAfterHalf(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	grow := func() {
		c.answers("v1", 0, 20, 0, normalLatency)
		c.answers("v2", 0, 2, 2, normalLatency)
	}
	is.Equal(feed(evaluator, c, 0, specDuration/2, grow).Finding, verdict.Undecided)
	is.Equal(feed(evaluator, c, specDuration/2, specDuration, grow).Finding, verdict.Bad)
}

func TestGoodTurnsBadWhileSwitching(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	is.Equal(feed(evaluator, c, 0, specDuration*65/100, func() { c.both(3) }).Finding, verdict.Good)
	for leaf := range leafs {
		c.answers("v2", leaf, 40, 8, normalLatency)
	}
	is.Equal(evaluator.Update(specDuration*7/10, c.rows()).Finding, verdict.Bad)
}

// A route with hardly any requests does not delay the finding that another route supports.
func TestRareRouteIsEvaluatedByAvailableAnswers(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	rare := evidence.Row{Key: evidence.Key{Service: "s", SpecID: 1, Route: "/rare", Version: "v2", Leaf: "v2-1"}}
	rare.Observe(false, normalLatency)
	var j verdict.Evaluation
	for at := time.Duration(0); at <= specDuration*65/100; at += 500 * time.Millisecond {
		c.both(3)
		j = evaluator.Update(at, append(c.rows(), rare))
	}
	is.Equal(j.Finding, verdict.Good)
}

// A route with half of the serving version's answers is not rare because the canary version got hardly any there:
// the version is not good until it has answered there, and then not before the time for little evidence.
func TestRouteWithTrafficIsNotRareByCanaryTraffic(t *testing.T) {
	is := is.New(t)
	for _, seen := range []struct {
		answers int
		from    float64
	}{{0, 2}, {2, 2}, {10, 0.75}, {200, 0.6}} {
		evaluator, c := newEvaluator(), counts{}
		var found float64
		for at := time.Duration(0); at <= specDuration && found == 0; at += 500 * time.Millisecond {
			c.both(3)
			if evaluator.Update(at, append(c.rows(), beside(c, seen.answers)...)).Finding == verdict.Good {
				found = float64(at) / float64(specDuration)
			}
		}
		is.Equal(found > 0, seen.from <= 1)
		if found > 0 {
			is.True(found >= seen.from && found <= seen.from+0.05)
		}
	}
}

// beside returns rows of another route, with as many answers of the serving version as on the first, and the given
// number of answers of each canary.
func beside(c counts, answers int) []evidence.Row {
	rows := c.rows()
	of := rows[:0]
	for _, row := range rows {
		if row.Version == "v1" {
			row.Route = "/other"
			of = append(of, row)
		}
	}
	for leaf := range leafs {
		row := evidence.Row{Key: evidence.Key{Service: "s", SpecID: 1, Route: "/other", Version: "v2", Leaf: fmt.Sprint("v2-", leaf)}}
		for range (answers + leaf) / leafs {
			row.Observe(false, normalLatency)
		}
		of = append(of, row)
	}
	return of
}

func TestNothingIsUndecided(t *testing.T) {
	is := is.New(t)
	evaluator := newEvaluator()
	for at := time.Duration(0); at <= specDuration; at += time.Second {
		is.Equal(evaluator.Update(at, nil).Finding, verdict.Undecided)
	}
}

// A version that never answers is not found good.
func TestAttemptsWithoutAnswersAreNotGood(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	j := feed(evaluator, c, 0, specDuration, func() {
		for leaf := range leafs {
			c.answers("v1", leaf, 10, 0, normalLatency)
			c.answers("v2", leaf, 0, 0, normalLatency)
			c.abandon("v2", leaf, 3, time.Millisecond)
		}
	})
	is.Equal(j.Finding, verdict.Undecided)
}

// Attempts given up before a limit do not make the share of failures smaller.
func TestAttemptsWithoutAnswersDoNotExcuse(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	feed(evaluator, c, 0, time.Second, func() { c.both(3) })
	for leaf := range leafs {
		c.answers("v2", leaf, 3, 3, normalLatency)
		c.abandon("v2", leaf, 1000, time.Millisecond)
	}
	is.Equal(evaluator.Update(2*time.Second, c.rows()).Finding, verdict.Bad)
}

// An evaluator node that has just started receives the reports of the nodes one after the other.
func TestPartialPictureIsNotGoodAtOnce(t *testing.T) {
	is := is.New(t)
	whole := counts{}
	whole.both(40)
	evaluator := newEvaluator()
	is.Equal(evaluator.Update(specDuration*7/10, whole.rows()).Finding, verdict.Undecided)
	for leaf := range leafs {
		whole.answers("v2", leaf, 30, 10, normalLatency)
	}
	is.Equal(evaluator.Update(specDuration*7/10+time.Second/2, whole.rows()).Finding, verdict.Bad)
}

func TestShrinkingRowsAreNotGood(t *testing.T) {
	is := is.New(t)
	evaluator, c, part := newEvaluator(), counts{}, counts{}
	feed(evaluator, c, 0, specDuration/2, func() { c.both(3) })
	part.both(5)
	is.Equal(feed(evaluator, part, specDuration/2, specDuration, func() {}).Finding, verdict.Undecided)
}

func TestConfigNamesFaults(t *testing.T) {
	is := is.New(t)
	is.NoErr(verdict.DefaultConfig().Validate())
	named := map[string]bool{}
	for _, fault := range failure.Faults(verdict.Config{RoundTrip: -1, ColdFor: -1, Settle: -1, Correlation: 2, SlowFactors: []float64{0.5}}.Validate()) {
		named[fault.Field] = true
	}
	is.Equal(len(named), 18)
}

// drawRows draws a history of rows for both versions.
func drawCounts(t *rapid.T, c counts) {
	for leaf := range leafs {
		n := rapid.IntRange(0, 30).Draw(t, "answers")
		failed := rapid.IntRange(0, n).Draw(t, "failed")
		took := time.Duration(rapid.IntRange(1, 10).Draw(t, "took")) * normalLatency
		c.answers("v1", leaf, rapid.IntRange(0, 100).Draw(t, "serving"), rapid.IntRange(0, 3).Draw(t, "serving failed"), normalLatency)
		c.answers("v2", leaf, n, failed, took)
	}
}

// More bad answers in the last update never turn a bad version into a good or undecided one.
func TestMoreBadAnswersNeverExcuse(t *testing.T) {
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
		with := fewer.Update(at, c.rows()).Finding
		c.answers("v2", rapid.IntRange(0, leafs-1).Draw(t, "leaf"), 1, 1, normalLatency)
		if got := more.Update(at, c.rows()).Finding; with == verdict.Bad && got != verdict.Bad {
			t.Fatalf("bad by fewer bad answers, %s by one more", got)
		}
	})
}

// Arbitrary rows in any order cause no panic, and bad stays bad.
func TestAnyRowsAreBorne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evaluator, found := newEvaluator(), verdict.Undecided
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			c := counts{}
			drawCounts(t, c)
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * time.Second
			j := evaluator.Update(at, c.rows())
			if found == verdict.Bad && j.Finding != verdict.Bad || found == verdict.Good && j.Finding == verdict.Undecided {
				t.Fatalf("%s after %s", j.Finding, found)
			}
			if j.Confidence < 0 || j.Confidence > 1 || j.Confidence != j.Confidence {
				t.Fatalf("confidence %f", j.Confidence)
			}
			found = j.Finding
		}
	})
}

// With few requests a version is found good by a few answers. If it then fails while the requests move to it, it is
// found bad before it gets all of them.
func TestVersionThatFailsOnceItsRequestsMoveIsNotGood(t *testing.T) {
	is := is.New(t)
	evaluator, c := newEvaluator(), counts{}
	number := 0
	found := feed(evaluator, c, 0, specDuration*9/10, func() {
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

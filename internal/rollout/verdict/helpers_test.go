package verdict_test

import (
	"fmt"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

const (
	specDuration  = 12 * time.Second
	normalLatency = 20 * time.Millisecond
	leafs         = 3
)

// counts are cumulative tallies by key.
type counts map[evidence.Key]*evidence.Tally

// answers counts n answers of a leaf on the only route. The last failed ones are failures.
func (c counts) answers(version string, leaf, n, failed int, took time.Duration) {
	tally := c.of(version, leaf)
	for i := range n {
		tally.Observe(i >= n-failed, took)
	}
}

// cancel counts n attempts at a leaf that were cancelled without an answer.
func (c counts) cancel(version string, leaf, n int, after time.Duration) {
	for range n {
		c.of(version, leaf).ObserveCancelled(after)
	}
}

func (c counts) of(version string, leaf int) *evidence.Tally {
	key := evidence.Key{Service: "s", SpecID: 1, Route: "/", Version: version, Leaf: fmt.Sprint(version, "-", leaf)}
	if c[key] == nil {
		c[key] = &evidence.Tally{}
	}
	return c[key]
}

// both counts successful answers of all leafs of both versions: n per canary leaf and 10n per serving leaf.
func (c counts) both(n int) {
	for leaf := range leafs {
		c.answers("v1", leaf, 10*n, 0, normalLatency)
		c.answers("v2", leaf, n, 0, normalLatency)
	}
}

func (c counts) rows() []evidence.Row {
	var rows []evidence.Row
	for key, tally := range c {
		row := evidence.Row{Key: key}
		row.Add(*tally)
		rows = append(rows, row)
	}
	return rows
}

func newEvaluator() *verdict.Evaluator {
	return verdict.New(verdict.DefaultConfig(), "v1", "v2", specDuration)
}

// update updates an evaluator every half second from one time to another, each time after a call of grow, which adds to
// the counts. It returns the last evaluation.
func update(evaluator *verdict.Evaluator, c counts, from, to time.Duration, grow func()) verdict.Evaluation {
	var evaluation verdict.Evaluation
	for at := from; at <= to; at += 500 * time.Millisecond {
		grow()
		evaluation = evaluator.Update(at, c.rows())
	}
	return evaluation
}

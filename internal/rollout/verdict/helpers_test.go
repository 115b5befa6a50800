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

// counts are cumulative rows.
type counts map[evidence.Key]*evidence.Tally

// answers counts n answers of a leaf on the only route, of which the last ones failed.
func (c counts) answers(version string, leaf, n, failed int, took time.Duration) {
	tally := c.of(version, leaf)
	for i := range n {
		tally.Observe(i >= n-failed, took)
	}
}

// abandon counts attempts at a leaf that were given up without an answer.
func (c counts) abandon(version string, leaf, n int, after time.Duration) {
	for range n {
		c.of(version, leaf).ObserveAbandoned(after)
	}
}

func (c counts) of(version string, leaf int) *evidence.Tally {
	key := evidence.Key{Service: "s", SpecID: 1, Route: "/", Version: version, Leaf: fmt.Sprint(version, "-", leaf)}
	if c[key] == nil {
		c[key] = &evidence.Tally{}
	}
	return c[key]
}

// both counts clean answers of all leafs: ten of the serving version's for each of the canary version.
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

// feed updates an evaluator every half second from one time to another, after grow has added to the counts.
func feed(t *verdict.Evaluator, c counts, from, to time.Duration, grow func()) verdict.Evaluation {
	var j verdict.Evaluation
	for at := from; at <= to; at += 500 * time.Millisecond {
		grow()
		j = t.Update(at, c.rows())
	}
	return j
}

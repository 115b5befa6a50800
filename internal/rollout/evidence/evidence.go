// Package evidence counts how the leafs of each version of a service answer, so that a new version can be compared
// with the serving one: by route, at the same time, by failures and latency.
//
// Counts only grow during one spec, so that a report that arrives twice, late or not at all does no harm: of two
// reports of one row the one with more attempts is kept. A Collector owns the rows of one node; the package starts no
// goroutine, and relies on the catalog for the specs in force.
package evidence

import (
	"math"
	"time"
)

// Key identifies a row of counts.
type Key struct {
	Service string `json:"service"`
	// SpecID is the id of the spec that the counts are for.
	SpecID  int64  `json:"order"`
	Route   string `json:"route"`
	Version string `json:"version"`
	// Leaf is the id of the leaf, so that one bad leaf is not taken for a bad version; empty for the serving version.
	Leaf string `json:"leaf"`
	// Zone is the leaf's zone; empty for the serving version.
	Zone string `json:"zone,omitempty"`
}

// Row is the counts of one key, of one node or summed over nodes.
type Row struct {
	Key
	Tally
}

// Tally counts attempts.
type Tally struct {
	// Failures counts the answers by which the leaf reported its own failure.
	Failures int64 `json:"failures,omitempty"`
	// Answered counts all answers by latency.
	Answered Histogram `json:"answered,omitempty"`
	// Abandoned counts the attempts that were given up without an answer, by their time until then; the answer would
	// have taken longer.
	Abandoned Histogram `json:"given_up,omitempty"`
}

// Observe counts an answer.
func (t *Tally) Observe(failed bool, took time.Duration) {
	if failed {
		t.Failures++
	}
	t.Answered.observe(took)
}

// ObserveAbandoned counts an attempt without an answer.
func (t *Tally) ObserveAbandoned(took time.Duration) { t.Abandoned.observe(took) }

// Attempts returns the number of attempts.
func (t *Tally) Attempts() int64 { return t.Answered.Total() + t.Abandoned.Total() }

// Add adds the counts of another tally.
func (t *Tally) Add(other Tally) {
	t.Failures += other.Failures
	t.Answered.add(other.Answered)
	t.Abandoned.add(other.Abandoned)
}

// Slow returns the number of attempts that took longer than a limit, and the number for which that is known. It is
// unknown for attempts that were given up before the limit.
func (t *Tally) Slow(limit time.Duration) (slow, known int64) {
	slow = t.Answered.Above(limit) + t.Abandoned.Above(limit)
	return slow, t.Answered.Total() + t.Abandoned.Above(limit)
}

// The first bucket of a histogram ends at minLatency, each other at 2^(1/stepsPerDoubling) times the one before it. So 48
// buckets reach from 0.25 ms to 700 s, each known to within a fifth.
const (
	minLatency       = 250 * time.Microsecond
	stepsPerDoubling = 2
	buckets          = 48
)

// Histogram counts attempts by latency, in buckets on a logarithmic scale; the zero value is empty. Trailing empty
// buckets are omitted.
type Histogram []int64

// bucketOf returns the bucket of a latency.
func bucketOf(took time.Duration) int {
	if took <= minLatency {
		return 0
	}
	index := int(math.Ceil(stepsPerDoubling * math.Log2(float64(took)/float64(minLatency))))
	return min(index, buckets-1)
}

// UpperBound returns the longest latency of a bucket.
func UpperBound(bucket int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(bucket)/stepsPerDoubling))
}

func (h *Histogram) observe(took time.Duration) {
	index := bucketOf(took)
	h.grow(index + 1)
	(*h)[index]++
}

func (h *Histogram) add(other Histogram) {
	h.grow(len(other))
	for index, count := range other {
		(*h)[index] += count
	}
}

func (h *Histogram) grow(length int) {
	for len(*h) < length {
		*h = append(*h, 0)
	}
}

// Total returns the number of attempts.
func (h Histogram) Total() int64 {
	total := int64(0)
	for _, count := range h {
		total += count
	}
	return total
}

// Above returns the number of attempts that took longer than a latency, to within the width of a bucket.
func (h Histogram) Above(limit time.Duration) int64 {
	above := int64(0)
	for index := bucketOf(limit) + 1; index < len(h); index++ {
		above += h[index]
	}
	return above
}

// Quantile returns the upper bound of the bucket at which the given fraction of the attempts, 0 to 1, is reached; 0 if
// there are none.
func (h Histogram) Quantile(fraction float64) time.Duration {
	total := h.Total()
	if total == 0 {
		return 0
	}
	wanted := int64(math.Ceil(fraction * float64(total)))
	counted := int64(0)
	for index, count := range h {
		counted += count
		if counted >= wanted {
			return UpperBound(index)
		}
	}
	return UpperBound(len(h) - 1)
}

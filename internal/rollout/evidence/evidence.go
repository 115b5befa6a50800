// Package evidence counts the answers of the leafs of each version of a service by route, failure and latency, so that
// a canary version can be compared with the serving version.
//
// Counts never decrease during a spec, so duplicate, late and lost reports are harmless: of two reports of a row the
// one with more attempts is newer. A Collector owns the rows of one node. The package starts no goroutine, and depends
// on the catalog for the specs in force.
package evidence

import (
	"math"
	"time"
)

// Key identifies a row of counts.
type Key struct {
	Service string `json:"service"`
	// SpecID is the ID of the spec that the counts belong to.
	SpecID  int64  `json:"order"`
	Route   string `json:"route"`
	Version string `json:"version"`
	// Leaf is the leaf's ID, which distinguishes a bad leaf from a bad version. It is empty for the serving version.
	Leaf string `json:"leaf"`
	// Zone is the leaf's zone. It is empty for the serving version.
	Zone string `json:"zone,omitempty"`
}

// Row contains the counts of one key, of one node or summed over nodes.
type Row struct {
	Key
	Tally
}

// Tally counts attempts.
type Tally struct {
	// Failures counts the answers with which a leaf reported its own failure.
	Failures int64 `json:"failures,omitempty"`
	// Answered counts all answers by latency.
	Answered Histogram `json:"answered,omitempty"`
	// Cancelled counts the attempts that the node cancelled without an answer, by the time until then. It is a lower bound
	// of their latency.
	Cancelled Histogram `json:"given_up,omitempty"`
}

// Observe counts an answer with its latency.
func (t *Tally) Observe(failed bool, took time.Duration) {
	if failed {
		t.Failures++
	}
	t.Answered.observe(took)
}

// ObserveCancelled counts an attempt that was cancelled after a time.
func (t *Tally) ObserveCancelled(took time.Duration) { t.Cancelled.observe(took) }

// Attempts returns the number of answered and cancelled attempts.
func (t *Tally) Attempts() int64 { return t.Answered.Total() + t.Cancelled.Total() }

// Add adds the counts of another tally.
func (t *Tally) Add(other Tally) {
	t.Failures += other.Failures
	t.Answered.add(other.Answered)
	t.Cancelled.add(other.Cancelled)
}

// Slow returns the number of attempts that took longer than a limit, and the number of attempts for which this is
// known. It is unknown for attempts that were cancelled before the limit.
func (t *Tally) Slow(limit time.Duration) (slow, known int64) {
	slow = t.Answered.Above(limit) + t.Cancelled.Above(limit)
	return slow, t.Answered.Total() + t.Cancelled.Above(limit)
}

// The first bucket of a histogram ends at minLatency, and each following bucket at 2^(1/stepsPerDoubling) times the end
// of the preceding one. The 48 buckets cover 0.25 ms to 2966 s, with a relative error of about a fifth.
const (
	minLatency       = 250 * time.Microsecond
	stepsPerDoubling = 2
	buckets          = 48
)

// Histogram counts attempts by latency in buckets on a logarithmic scale. Trailing empty buckets are omitted, and the
// zero value is empty.
type Histogram []int64

// bucketOf returns the index of the bucket of a latency.
func bucketOf(took time.Duration) int {
	if took <= minLatency {
		return 0
	}
	index := int(math.Ceil(stepsPerDoubling * math.Log2(float64(took)/float64(minLatency))))
	return min(index, buckets-1)
}

// UpperBound returns the upper latency bound of a bucket, given its index.
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

// Above returns the number of attempts in the buckets above the bucket of limit.
func (h Histogram) Above(limit time.Duration) int64 {
	above := int64(0)
	for index := bucketOf(limit) + 1; index < len(h); index++ {
		above += h[index]
	}
	return above
}

// Quantile returns the upper bound of the bucket that contains the given quantile, 0 to 1, or 0 for an empty histogram.
func (h Histogram) Quantile(fraction float64) time.Duration {
	total := h.Total()
	if total == 0 {
		return 0
	}
	rank := int64(math.Ceil(fraction * float64(total)))
	cumulative := int64(0)
	for index, count := range h {
		cumulative += count
		if cumulative >= rank {
			return UpperBound(index)
		}
	}
	return UpperBound(len(h) - 1)
}

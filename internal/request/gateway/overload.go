package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// overloadTail is how much longer than the expected one the slowest part of an answer takes.
const overloadTail = 1.3

// leastOverload is how many times the usual an attempt must take at most shards before requests
// are refused for it, whatever they are expected to take: after a start little is known of that.
const leastOverload = 2.5

// Bounds of when a caller is told to come back, as parts of the configured time: callers that
// were refused together must not come back together.
const (
	leastRetryPart = 0.6
	mostRetryPart  = 1.4
)

// refuse gives a failure for a gathered request that can't be answered within its objective,
// since most of its shards have too much work waiting. Refused at once, it leaves the leafs to
// those that can, and its caller may come back within its own time. Kinds of request with a
// short objective are refused first. Single slow or dark shards don't count: an answer can go
// out without them. A part of a request is not refused: its root has begun with the rest. Shards that
// another node is asked for don't count: what this one knows of their leafs is old.
func (w *gathering) refuse(plan scatter.Plan) error {
	if !w.isGathered() || len(w.services) < len(w.query.entry.Gathered) {
		return nil
	}
	delays := make([]float64, 0, len(plan.Shards))
	for index, shard := range plan.Shards {
		if w.isPassedOn(index) {
			continue
		}
		if delay := w.gateway.balancer.QueueingFactor(shard.Candidates); delay > 0 {
			delays = append(delays, delay)
		}
	}
	if len(delays) == 0 {
		return nil
	}
	slices.Sort(delays)
	median := delays[len(delays)/2]
	if median < leastOverload {
		return nil
	}
	own := w.latency("").unloaded()
	waiting := time.Duration((median - 1) * float64(w.gateway.latencies.longestUnloaded()))
	predicted := time.Duration(overloadTail * float64(own+max(0, waiting)))
	if predicted <= time.Until(w.query.objective) {
		return nil
	}
	part := leastRetryPart + (mostRetryPart-leastRetryPart)*rand.Float64()
	after := time.Duration(part * float64(w.gateway.config.OverloadRetryAfter))
	return failure.New(failure.Overloaded, failure.NotRun,
		"most shards have %.1f times the usual delay; an answer is expected after %s", median, predicted).WithRetryAfter(after)
}

package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// overloadTailFactor is how much longer than the expected one the slowest part of an answer takes.
const overloadTailFactor = 1.3

// minimumOverload is how many times the usual an attempt must take at most shards before requests
// are refused for it, whatever they are expected to take: after a start little is known of that.
const minimumOverload = 2.5

// Bounds of when a caller is told to come back, as parts of the configured time: callers that
// were refused together must not come back together.
const (
	leastJitter = 0.6
	mostJitter  = 1.4
)

// refuse gives a failure for a gathered request that can't be answered within its objective,
// since most of its shards have too much work waiting. Refused at once, it leaves the leafs to
// those that can, and its caller may come back within its own time. Kinds of request with a
// short objective are refused first. Single slow or dark shards don't count: an answer can go
// out without them. A part of a request is not refused: its root has begun with the rest. Shards that
// another node is asked for don't count: what this one knows of their leafs is old.
func (e *execution) refuseOverloaded(plan scatter.Plan) error {
	if !e.isGathered() || len(e.services) < len(e.request.route.Gathered) {
		return nil
	}
	delays := make([]float64, 0, len(plan.Shards))
	for index, shard := range plan.Shards {
		if e.isInGroup(index) {
			continue
		}
		if delay := e.gateway.balancer.Queueing(shard.Candidates); delay > 0 {
			delays = append(delays, delay)
		}
	}
	if len(delays) == 0 {
		return nil
	}
	slices.Sort(delays)
	median := delays[len(delays)/2]
	if median < minimumOverload {
		return nil
	}
	own := e.latency("").unloaded()
	waiting := time.Duration((median - 1) * float64(e.gateway.latencies.longestUnloaded()))
	predicted := time.Duration(overloadTailFactor * float64(own+max(0, waiting)))
	if predicted <= time.Until(e.request.objective) {
		return nil
	}
	part := leastJitter + (mostJitter-leastJitter)*rand.Float64()
	after := time.Duration(part * float64(e.gateway.config.OverloadRetryAfter))
	return failure.New(failure.Overloaded, failure.NotRun,
		"most shards have %.1f times the usual delay; an answer is expected after %s", median, predicted).WithRetryAfter(after)
}

package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// This file contains every reason to refuse a request before an attempt is made, in the order in which they are
// checked. Each failure has the execution state NotRun: no leaf received the request, so the caller may send it again.
//
//	findRoute           NOT_READY      the node has no routes yet
//	findRoute           UNKNOWN_ROUTE  no route matches host and path
//	refuseQuarantined   QUARANTINED    the request has crashed the leafs that ran it
//	refuseWithoutLeafs  OVERLOADED     too few services have a leaf that may be queried
//	refuseOverloaded    OVERLOADED     most shards are so busy that the objective would be missed
//
// Package front refuses malformed and oversized requests before that. A node that receives a group from another node
// declines it without a failure if it is busy, stopping, or has another route (intermediate.go). Failures after
// attempts are in answer.go.

// notReadyRetryAfter is about as long as a new node takes to receive its routes.
const notReadyRetryAfter = 600 * time.Millisecond

// findRoute returns the routing table in force and the request's route in it.
func (g *Gateway) findRoute(request *Request) (*routing.Table, *routing.Entry, error) {
	table := g.catalog.View().Routes
	if table == nil {
		return nil, nil, failure.New(failure.NotReady, failure.NotRun, "the node has no routes yet").WithRetryAfter(notReadyRetryAfter)
	}
	route := table.Match(request.Leaf.Host, request.Path)
	if route == nil {
		return nil, nil, failure.New(failure.UnknownRoute, failure.NotRun, "no route for host %q and path %q in version %d", request.Leaf.Host, request.Path, table.Version)
	}
	return table, route, nil
}

// refuseQuarantined refuses a request that is quarantined. Its Retry-After is the remaining term of the quarantine.
func (e *execution) refuseQuarantined() error {
	if e.quarantineState() != quarantine.Quarantined {
		return nil
	}
	return e.quarantineFailure(failure.NotRun)
}

// admit returns the plan of the request's attempts, or the failure if the request is refused.
func (e *execution) admit() (scatter.Plan, error) {
	if err := e.refuseWithoutLeafs(); err != nil {
		return scatter.Plan{}, err
	}
	plan := e.plan()
	if err := e.refuseOverloaded(plan); err != nil {
		e.refundDecisions()
		return scatter.Plan{}, err
	}
	return plan, nil
}

// reasonNoLeaf is the reason of a service without a leaf that may run the request.
const reasonNoLeaf = scatter.Reason(balancer.NoReplica)

// otherZoneRetryAfter is for callers whose next connection goes to a zone that can serve them, so that they need not
// wait. It is not zero, since Retry-After is sent only if it is positive.
const otherZoneRetryAfter = time.Millisecond

// refuseWithoutLeafs refuses a request if an answer cannot have its required parts because too many services have no
// leaf: their leafs are gone, draining, evacuated, in unreachable zones, or in regions that the route does not allow. A
// leaf may return at any time, but waiting for one would delay the caller, who can use another node meanwhile. A group
// for another node is never refused: only its root can count all missing parts.
func (e *execution) refuseWithoutLeafs() error {
	if e.partial != nil {
		return nil
	}
	required := e.request.leastParts()
	without, canaryOnly := e.shardsWithoutLeafs()
	without += len(canaryOnly) - e.decideForCanary(canaryOnly, required-(len(e.services)-without-len(canaryOnly)))
	if len(e.services)-without >= required {
		return nil
	}
	failed := failure.New(failure.Overloaded, failure.NotRun, "%d of %d services have no reachable leaf; %d parts are required: %s", without, len(e.services), required, reasonNoLeaf)
	if e.gateway.otherZonesServeBetter() {
		return failed.WithRetryAfter(otherZoneRetryAfter)
	}
	return failed.WithRetryAfter(e.request.longRetryAfter())
}

// shardsWithoutLeafs counts the shards without a leaf that may run the request. It returns separately the shards for
// which only canary leafs may run it, which depends on a canary decision.
func (e *execution) shardsWithoutLeafs() (without int, canaryOnly []int) {
	for index := range e.services {
		switch {
		case e.hasLeaf(index):
		case e.mayGoToCanary(index):
			canaryOnly = append(canaryOnly, index)
		default:
			without++
		}
	}
	return without, canaryOnly
}

// decideForCanary makes decisions for shards until the wanted number go to the canary version, and returns how many do.
// If there cannot be enough, it makes no decisions or refunds them, so that a refused request uses none of the canary's
// share.
func (e *execution) decideForCanary(shards []int, wanted int) int {
	if wanted <= 0 || wanted > len(shards) {
		return 0
	}
	count := 0
	for _, shard := range shards {
		if e.decide(shard, true).First == canary.Canary {
			if count++; count == wanted {
				return count
			}
		}
	}
	e.refundDecisions()
	return count
}

// hasLeaf reports whether a service has a leaf that may run the request without a canary decision. Canary leafs count
// once all requests go to their version.
func (e *execution) hasLeaf(index int) bool {
	service := e.services[index]
	role := e.gateway.retryRole(service)
	if role != canary.Canary && e.anyMayRun(e.gateway.servingLeafs(service)) {
		return true
	}
	return role != canary.Serving && e.anyMayRun(e.gateway.canaryLeafs(service, role))
}

// mayGoToCanary reports whether a canary decision of this node could send a shard to a canary leaf.
func (e *execution) mayGoToCanary(index int) bool {
	return !e.isInGroup(index) && e.anyMayRun(e.gateway.catalog.View().Leafs.CanaryLeafs(e.services[index]))
}

// anyMayRun reports whether any of the leafs is in a zone that the route allows and this node can reach.
func (e *execution) anyMayRun(leafs []*leafset.Leaf) bool {
	return slices.ContainsFunc(leafs, func(leaf *leafset.Leaf) bool {
		return e.allowsZone(leaf.Zone) && e.gateway.zones.Reaches(leaf.Zone)
	})
}

const (
	// retryAfterDivisor limits a Retry-After to a third of a caller's remaining time, so that the caller still follows
	// it and has time for the answer.
	retryAfterDivisor = 3
	// minimumRetryAfterFraction spreads the Retry-After of callers that are refused together over its last 30%.
	minimumRetryAfterFraction = 0.7
	// defaultRetryAfter is the longest Retry-After for callers that sent no timeout or have no time left.
	defaultRetryAfter = time.Second
)

// longRetryAfter returns about the longest Retry-After that the caller will follow. It is for outages of unknown
// duration, in which the caller can send the request only once or twice more.
func (r *routedRequest) longRetryAfter() time.Duration {
	left := r.CallerTimeout - time.Since(r.Arrived)
	if r.CallerTimeout == 0 || left <= 0 {
		left = retryAfterDivisor * defaultRetryAfter
	}
	fraction := minimumRetryAfterFraction + (1-minimumRetryAfterFraction)*rand.Float64()
	return time.Duration(fraction * float64(left/retryAfterDivisor))
}

const (
	// overloadTailFactor is the ratio of the slowest shard's latency to the expected latency of a shard.
	overloadTailFactor = 1.3
	// overloadThreshold is the minimum median delay of the shards at which requests are refused, as a multiple of the
	// latency without queueing. It is high because latencies are inaccurate after a start.
	overloadThreshold = 2.5
	// minimumJitter and maximumJitter spread the Retry-After of callers that are refused together, as fractions of
	// OverloadRetryAfter.
	minimumJitter = 0.6
	maximumJitter = 1.4
)

// refuseOverloaded refuses a gathered request that cannot be answered within its objective because most of its shards
// have too many requests queued. The leafs then serve requests that can be answered, and the caller can retry in time.
// A request is refused if the median of shardDelays is at least overloadThreshold and the predicted time of the answer
// exceeds the time left until the objective, so routes with a short objective are refused first. A few slow shards do
// not count: an answer can be sent without them.
//
// A node that gathers some of the shards refuses nothing, since its root has begun with the others. A node that gathers
// all of them refuses, and the root passes the failure on.
func (e *execution) refuseOverloaded(plan scatter.Plan) error {
	if !e.isGathered() || len(e.services) < len(e.request.route.Gathered) {
		return nil
	}
	delays := e.shardDelays(plan)
	if len(delays) == 0 {
		return nil
	}
	slices.Sort(delays)
	median := delays[len(delays)/2]
	if median < overloadThreshold {
		return nil
	}
	predicted := e.predictAnswer(median)
	if predicted <= time.Until(e.request.objective) {
		return nil
	}
	fraction := minimumJitter + (maximumJitter-minimumJitter)*rand.Float64()
	after := time.Duration(fraction * float64(e.gateway.cfg.OverloadRetryAfter))
	return failure.New(failure.Overloaded, failure.NotRun,
		"the median shard has %.1f times the delay of an idle one; the answer would take %s", median, predicted).WithRetryAfter(after)
}

// shardDelays returns the known delays of the shards that this node queries, as multiples of the latency without
// queueing. It omits shards that other nodes gather, since this node's data on their leafs is old.
func (e *execution) shardDelays(plan scatter.Plan) []float64 {
	delays := make([]float64, 0, len(plan.Shards))
	for index, shard := range plan.Shards {
		if e.isInGroup(index) {
			continue
		}
		if delay := e.gateway.balancer.QueueingFactor(shard.Candidates); delay > 0 {
			delays = append(delays, delay)
		}
	}
	return delays
}

// predictAnswer predicts the latency of an answer from the median delay of its shards. The requests queued at the leafs
// may be of any gathered route, so the slowest kind counts.
func (e *execution) predictAnswer(medianDelay float64) time.Duration {
	own := e.latency("").unloaded()
	queued := time.Duration((medianDelay - 1) * float64(e.gateway.latencies.longestUnloaded()))
	return time.Duration(overloadTailFactor * float64(own+max(0, queued)))
}

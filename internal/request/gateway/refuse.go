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

// This file has every reason for which a request is refused before an attempt is made, in the order in which they are
// checked. Each failure has the execution state NotRun: no leaf has the request, so that the caller may send it again.
//
//	findRoute           NOT_READY      the node has no routes yet
//	findRoute           UNKNOWN_ROUTE  no route matches host and path
//	refuseQuarantined   QUARANTINED    the request has crashed the leafs that ran it
//	refuseWithoutLeafs  OVERLOADED     too few services have a leaf that may be asked
//	refuseOverloaded    OVERLOADED     most shards are so busy that the objective would be missed
//
// Package front refuses malformed and oversized requests before these. A node that gathers a group for another declines
// it without a failure if it is busy, stopping, or has another route (intermediate.go). Failures after attempts were
// made are in answer.go.

// notReadyRetryAfter is about the time that a new node takes to receive its routes.
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

// refuseQuarantined refuses a request that is quarantined. Its Retry-After is what is left of the quarantine's term.
func (e *execution) refuseQuarantined() error {
	if e.quarantineState() != quarantine.Quarantined {
		return nil
	}
	return e.quarantineFailure(failure.NotRun)
}

// admit returns the plan of the request's attempts, or the failure by which the request is refused.
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

// noLeaf is the reason of a service for which no leaf is known.
const noLeaf = scatter.Reason(balancer.NoReplica)

// elsewhereRetryAfter is for callers whose next connection goes to a zone that can serve them: waiting would only cost
// them time. It is not zero, since Retry-After is sent only if it is positive.
const elsewhereRetryAfter = time.Millisecond

// refuseWithoutLeafs refuses a request if so many services have no leaf that an answer can't have its required parts:
// their leafs are gone, draining, evacuated, in unreachable zones, or in regions that the route doesn't allow. A leaf
// may come back at any time, but waiting for one would hold the caller, who can ask another node meanwhile. A group
// that is gathered for another node is never refused: only its root knows how many parts are missing in all.
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
	failed := failure.New(failure.Overloaded, failure.NotRun, "%d of %d services have no leaf in reach, %d are needed: %s", without, len(e.services), required, noLeaf)
	if e.gateway.isBetterServedElsewhere() {
		return failed.WithRetryAfter(elsewhereRetryAfter)
	}
	return failed.WithRetryAfter(e.request.longRetryAfter())
}

// shardsWithoutLeafs counts the shards without a leaf that may run the request, and returns the shards whose only such
// leafs are canaries, so that a canary decision decides whether they may run it.
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

// decideForCanary decides for shards until as many as wanted go to the canary version, and returns their number. If
// there can't be enough it decisions none or refunds the decisions, so that a refused request takes nothing from the canary.
func (e *execution) decideForCanary(shards []int, wanted int) int {
	if wanted <= 0 || wanted > len(shards) {
		return 0
	}
	count := 0
	for _, shard := range shards {
		if e.decide(shard, true).First == canary.Target {
			if count++; count == wanted {
				return count
			}
		}
	}
	e.refundDecisions()
	return count
}

// hasLeaf reports whether a service has a leaf that may run the request without a canary decision. Canaries count
// once all requests go to their version.
func (e *execution) hasLeaf(index int) bool {
	service := e.services[index]
	versions := e.gateway.retryVersions(service)
	if versions != canary.Target && e.anyMayRun(e.gateway.servingLeafs(service)) {
		return true
	}
	return versions != canary.Serving && e.anyMayRun(e.gateway.canaryLeafs(service, versions))
}

// mayGoToCanary reports whether a canary decision of this node could send a shard to a canary.
func (e *execution) mayGoToCanary(index int) bool {
	return !e.isInGroup(index) && e.anyMayRun(e.gateway.catalog.View().Leafs.Canaries(e.services[index]))
}

// anyMayRun reports whether any of the leafs is in a zone that the route allows and this node reaches.
func (e *execution) anyMayRun(leafs []*leafset.Leaf) bool {
	return slices.ContainsFunc(leafs, func(leaf *leafset.Leaf) bool {
		return e.allowsZone(leaf.Zone) && e.gateway.zones.Reaches(leaf.Zone)
	})
}

const (
	// retryAfterDivisor is the part of a caller's remaining time that a Retry-After may take up: a third, so that
	// the caller still follows it and has time for the answer.
	retryAfterDivisor = 3
	// leastRetryAfterShare spreads the Retry-After of callers that are refused together over its last 30%.
	leastRetryAfterShare = 0.7
	// defaultRetryAfter is the longest Retry-After for callers that don't say how long they wait.
	defaultRetryAfter = time.Second
)

// longRetryAfter returns about the longest Retry-After that the caller will follow. It is for outages of unknown
// length, when the caller has only one or two more times to send the request.
func (r *routedRequest) longRetryAfter() time.Duration {
	left := r.CallerTimeout - time.Since(r.Arrived)
	if r.CallerTimeout == 0 || left <= 0 {
		left = retryAfterDivisor * defaultRetryAfter
	}
	share := leastRetryAfterShare + (1-leastRetryAfterShare)*rand.Float64()
	return time.Duration(share * float64(left/retryAfterDivisor))
}

const (
	// overloadTailFactor is how many times the expected latency of a shard the slowest shard of an answer takes.
	overloadTailFactor = 1.3
	// minimumOverload is the least median delay of the shards, as a multiple of an attempt without queueing, for which
	// requests are refused. After a start the latencies are not known well enough to refuse for less.
	minimumOverload = 2.5
	// minimumJitter and maximumJitter spread the Retry-After of callers that are refused together, as parts of
	// OverloadRetryAfter.
	minimumJitter = 0.6
	maximumJitter = 1.4
)

// refuseOverloaded refuses a gathered request that can't be answered within its objective, since most of its shards
// have too many requests queued: the leafs are left to requests that can be, and the caller can come back in time. Routes
// with a short objective are refused first. A few slow shards don't count: an answer can go out without them.
//
// The input is the balancer's delay of each shard, as a multiple of an attempt without queueing. The request is refused
// if their median is at least minimumOverload and the time that it predicts for the answer is more than is
// left of the objective. Shards that another node is asked for don't count: this node's data on their leafs is old.
// A node that gathers a part of the shards refuses nothing, since its root has begun with the others; one that gathers
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
	if median < minimumOverload {
		return nil
	}
	predicted := e.predictAnswer(median)
	if predicted <= time.Until(e.request.objective) {
		return nil
	}
	share := minimumJitter + (maximumJitter-minimumJitter)*rand.Float64()
	after := time.Duration(share * float64(e.gateway.config.OverloadRetryAfter))
	return failure.New(failure.Overloaded, failure.NotRun,
		"most shards have %.1f times the usual delay; an answer is expected after %s", median, predicted).WithRetryAfter(after)
}

// shardDelays returns the known delays of the shards that this node asks, as multiples of an attempt without queueing.
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

// predictAnswer predicts how long an answer takes from the median delay of its shards. What is queued at the leafs may
// be requests of any gathered route, so that the slowest kind counts.
func (e *execution) predictAnswer(medianDelay float64) time.Duration {
	own := e.latency("").unloaded()
	queued := time.Duration((medianDelay - 1) * float64(e.gateway.latencies.longestUnloaded()))
	return time.Duration(overloadTailFactor * float64(own+max(0, queued)))
}

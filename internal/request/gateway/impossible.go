package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// noLeaf is the reason of a service for which no leaf is known.
const noLeaf = scatter.Reason(balancer.NoReplica)

// refuseWithoutLeafs gives a failure where so many services have no leaf that the answer could not be a
// success: all are gone, drain, are evacuated, in lost zones or in regions that the route is not allowed. Waiting for
// one would only hold the caller, who can come back to this node or another.
func (e *execution) refuseWithoutLeafs() error {
	if e.partial != nil {
		return nil // a part of a request is for its root to judge
	}
	required := max(1, e.request.requiredParts)
	without, unserved := e.shardsWithoutLeafs()
	without += len(unserved) - e.drawnForTrial(unserved, required-(len(e.services)-without-len(unserved)))
	if len(e.services)-without >= required {
		return nil
	}
	failed := failure.New(failure.Overloaded, failure.NotRun, "%d of %d services have no leaf in reach, %d are needed: %s", without, len(e.services), required, noLeaf)
	if e.gateway.isBetterServedElsewhere() {
		return failed.WithRetryAfter(elsewhereRetryAfter)
	}
	return failed.WithRetryAfter(e.request.longRetryAfter())
}

// elsewhereRetryAfter is what callers are told whose next connection goes to another zone, where their request can be
// served: to wait would only cost them time.
const elsewhereRetryAfter = time.Millisecond

// shardsWithoutLeafs counts the shards without a leaf that may run the request, and gives those that have one only if
// they are drawn for the version on trial.
func (e *execution) shardsWithoutLeafs() (without int, unserved []int) {
	for index := range e.services {
		switch {
		case e.hasLeaf(index):
		case e.mayBeDrawn(index):
			unserved = append(unserved, index)
		default:
			without++
		}
	}
	return without, unserved
}

// drawn draws shards until so many are drawn for the version on trial, and gives how many are. Where there are not
// enough shards none is drawn, and where not enough are drawn it is taken back.
func (e *execution) drawnForTrial(shards []int, wanted int) int {
	if wanted <= 0 || wanted > len(shards) {
		return 0
	}
	count := 0
	for _, shard := range shards {
		if e.draw(shard, true).First == canary.Trial {
			if count++; count == wanted {
				return count
			}
		}
	}
	e.returnDraws()
	return count
}

// hasLeaf reports whether a service has a leaf that may run the request without a draw. One on trial does where all
// requests go there by now.
func (e *execution) hasLeaf(index int) bool {
	service := e.services[index]
	versions := e.gateway.undrawnVersions(service)
	if versions != canary.Trial && e.anyInReach(e.gateway.servingLeafs(service)) {
		return true
	}
	return versions != canary.Serving && e.anyInReach(e.gateway.trialLeafs(service, versions))
}

// mayBeDrawn reports whether a shard may be drawn here for leafs on trial that may run the request.
func (e *execution) mayBeDrawn(index int) bool {
	return !e.isInGroup(index) && e.anyInReach(e.gateway.catalog.View().Leafs.OnTrial(e.services[index]))
}

// anyInReach reports whether any of some leafs may run the request.
func (e *execution) anyInReach(leafs []*leafset.Leaf) bool {
	return slices.ContainsFunc(leafs, func(leaf *leafset.Leaf) bool {
		return e.allowsZone(leaf.Zone) && e.gateway.zones.Reaches(leaf.Zone)
	})
}

// Callers follow the time that they are told up to a third of the time they have. Those who are told it
// together come back spread over its last part.
const (
	retryAfterDivisor    = 3
	leastRetryAfterShare = 0.7
)

// defaultRetryAfter is what callers are told who don't say how long they wait.
const defaultRetryAfter = time.Second

// longRetryAfter gives about the latest time after which the caller still comes back, for troubles that take
// as long as they take: it may come back only once or twice.
func (r *routedRequest) longRetryAfter() time.Duration {
	left := r.CallerTimeout - time.Since(r.Arrived)
	if r.CallerTimeout == 0 || left <= 0 {
		left = retryAfterDivisor * defaultRetryAfter
	}
	part := leastRetryAfterShare + (1-leastRetryAfterShare)*rand.Float64()
	return time.Duration(part * float64(left/retryAfterDivisor))
}

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
func (w *gathering) refuseWithoutLeafs() error {
	if w.collected != nil {
		return nil // a part of a request is for its root to judge
	}
	required := max(1, w.query.required)
	without, unserved := w.shardsWithoutLeafs()
	without += len(unserved) - w.drawn(unserved, required-(len(w.services)-without-len(unserved)))
	if len(w.services)-without >= required {
		return nil
	}
	failed := failure.New(failure.Overloaded, failure.NotRun, "%d of %d services have no leaf in reach, %d are needed: %s", without, len(w.services), required, noLeaf)
	if w.gateway.isStranded() {
		return failed.WithRetryAfter(strandedRetryAfter)
	}
	return failed.WithRetryAfter(w.query.latestReturn())
}

// strandedRetryAfter is what callers are told whose next connection goes to another zone, where their request can be
// served: to wait would only cost them time.
const strandedRetryAfter = time.Millisecond

// shardsWithoutLeafs counts the shards without a leaf that may run the request, and gives those that have one only if
// they are drawn for the version on trial.
func (w *gathering) shardsWithoutLeafs() (without int, unserved []int) {
	for index := range w.services {
		switch {
		case w.hasLeaf(index):
		case w.mayBeDrawn(index):
			unserved = append(unserved, index)
		default:
			without++
		}
	}
	return without, unserved
}

// drawn draws shards until so many are drawn for the version on trial, and gives how many are. Where there are not
// enough shards none is drawn, and where not enough are drawn it is taken back.
func (w *gathering) drawn(shards []int, wanted int) int {
	if wanted <= 0 || wanted > len(shards) {
		return 0
	}
	count := 0
	for _, shard := range shards {
		if w.draw(shard, true).First == canary.Trial {
			if count++; count == wanted {
				return count
			}
		}
	}
	w.returnDraws()
	return count
}

// hasLeaf reports whether a service has a leaf that may run the request without a draw. One on trial does where all
// requests go there by now.
func (w *gathering) hasLeaf(index int) bool {
	service := w.services[index]
	versions := w.gateway.later(service)
	if versions != canary.Trial && w.anyInReach(w.gateway.servingLeafs(service)) {
		return true
	}
	return versions != canary.Serving && w.anyInReach(w.gateway.trialLeafs(service, versions))
}

// mayBeDrawn reports whether a shard may be drawn here for leafs on trial that may run the request.
func (w *gathering) mayBeDrawn(index int) bool {
	return !w.isPassedOn(index) && w.anyInReach(w.gateway.catalog.View().Leafs.OnTrial(w.services[index]))
}

// anyInReach reports whether any of some leafs may run the request.
func (w *gathering) anyInReach(leafs []*leafset.Leaf) bool {
	return slices.ContainsFunc(leafs, func(leaf *leafset.Leaf) bool {
		return w.allowsZone(leaf.Zone) && w.gateway.zones.Reaches(leaf.Zone)
	})
}

// Callers follow the time that they are told up to a third of the time they have. Those who are told it
// together come back spread over its last part.
const (
	returnParts     = 3
	leastReturnPart = 0.7
)

// defaultReturn is what callers are told who don't say how long they wait.
const defaultReturn = time.Second

// latestReturn gives about the latest time after which the caller still comes back, for troubles that take
// as long as they take: it may come back only once or twice.
func (q *query) latestReturn() time.Duration {
	left := q.CallerTimeout - time.Since(q.Arrived)
	if q.CallerTimeout == 0 || left <= 0 {
		left = returnParts * defaultReturn
	}
	part := leastReturnPart + (1-leastReturnPart)*rand.Float64()
	return time.Duration(part * float64(left/returnParts))
}

package gateway

import (
	"slices"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// leafTarget is a leaf that may be queried, and how to connect to it.
type leafTarget struct {
	leafhttp.Target
	leaf *leafset.Leaf
}

// candidates returns the leafs of a shard that may be queried now without a canary decision, and sets the shard's
// targets. Package balancer chooses among them.
func (e *execution) candidates(shard int) []balancer.Candidate {
	return e.candidatesOf(shard, e.gateway.retryRole(e.services[shard]))
}

// candidatesOf returns the leafs of a shard that may be queried now, and sets the shard's targets. A leaf may be
// queried if all of these are true:
//
//   - it runs one of the versions;
//   - discovery lists it as ready, or no leaf of its version is ready and it was lost recently or is on the stored list
//     (leafmemory);
//   - this node is allotted connections to it, or may open an extra one (connshare);
//   - if it is cold, this node's share of its request rate is not used up (warmup);
//   - its zone is reachable;
//   - the route allows its region.
func (e *execution) candidatesOf(shard int, role canary.Role) []balancer.Candidate {
	service := e.services[shard]
	queried := queriedService{name: service, isGathered: e.isGathered(), maximumConnections: e.request.service(service).MaximumConnections}
	candidates := e.gateway.inReachableZones(e.gateway.usableLeafs(queried, role, &e.targets[shard]))
	if len(e.request.route.Regions) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate balancer.Candidate) bool { return !e.allowsZone(candidate.Zone) })
}

// allowsZone reports whether the route allows leafs in a zone to run the request.
func (e *execution) allowsZone(zone string) bool {
	return len(e.request.route.Regions) == 0 || e.request.route.AllowsRegion(e.gateway.regions[zone])
}

// queriedService is a service whose leafs are queried.
type queriedService struct {
	name string
	// isGathered selects the connections that are allotted to gathered requests.
	isGathered bool
	// maximumConnections is how many connections a leaf accepts from all nodes together; 0 means no limit.
	maximumConnections int
}

// usableLeafs returns the leafs of a service that this node may query, by version, connections and warm-up, and sets
// targets to how to connect to them.
func (g *Gateway) usableLeafs(service queriedService, role canary.Role, targets *[]leafTarget) []balancer.Candidate {
	*targets = nil
	var candidates []balancer.Candidate
	if role != canary.Canary {
		candidates = g.appendUsable(candidates, service, g.servingLeafs(service.name), targets)
	}
	if role != canary.Serving {
		candidates = g.appendUsable(candidates, service, g.canaryLeafs(service.name, role), targets)
	}
	return candidates
}

// appendUsable appends the leafs of one version that this node may query to candidates, and how to connect to them to
// targets.
func (g *Gateway) appendUsable(candidates []balancer.Candidate, service queriedService, leafs []*leafset.Leaf, targets *[]leafTarget) []balancer.Candidate {
	allotted := g.allocator.Allot(service.name, service.isGathered, leafs, service.maximumConnections)
	candidates = slices.Grow(candidates, len(allotted))
	*targets = slices.Grow(*targets, len(allotted))
	for _, allotment := range allotted {
		leaf := allotment.Leaf
		if allotment.Connections == 0 && !g.leafs.MayOpenExtra(leaf.ID) {
			continue
		}
		if g.warmup != nil && !g.warmup.HasToken(leaf) {
			continue
		}
		target := leafhttp.Target{
			LeafID: leaf.ID, Name: leaf.Name, Address: leaf.Address,
			Connections: allotment.Connections, ExtraConnections: allotment.ExtraConnections,
		}
		*targets = append(*targets, leafTarget{target, leaf})
		candidates = append(candidates, balancer.Candidate{
			LeafID: leaf.ID, Zone: leaf.Zone, Unallotted: allotment.Connections == 0, LastResort: allotment.LastResort,
		})
	}
	return candidates
}

// servingLeafs returns the leafs of a service's serving version, or lost ones if none is ready (leafmemory).
func (g *Gateway) servingLeafs(service string) []*leafset.Leaf {
	leafs, _ := g.memory.Candidates(service)
	return leafs
}

// canaryLeafs returns the leafs of a service's canary version. Once all requests go to that version, it returns lost
// leafs if none is ready (leafmemory).
func (g *Gateway) canaryLeafs(service string, role canary.Role) []*leafset.Leaf {
	if role == canary.Canary {
		return g.memory.CanaryLeafs(service)
	}
	return g.catalog.View().Leafs.CanaryLeafs(service)
}

// target returns the leaf of an attempt, and how to connect to it.
func (e *execution) target(attempt scatter.Attempt) leafTarget {
	for _, target := range e.targets[attempt.Shard] {
		if target.LeafID == attempt.Leaf.ID {
			return target
		}
	}
	return leafTarget{Target: leafhttp.Target{LeafID: attempt.Leaf.ID}}
}

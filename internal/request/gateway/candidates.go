package gateway

import (
	"slices"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// target is a leaf that may be asked, and how.
type leafTarget struct {
	leafhttp.Target
	leaf *leafset.Leaf
}

// candidates gives the leafs of a shard that may be asked now, without a draw, and keeps how.
func (e *execution) candidates(shard int) []balancer.Candidate {
	return e.candidatesOf(shard, e.gateway.undrawnVersions(e.services[shard]))
}

// candidatesOf gives the leafs of a shard of some versions that may be asked now, and keeps how.
func (e *execution) candidatesOf(shard int, versions canary.Versions) []balancer.Candidate {
	service := e.services[shard]
	limit := e.request.service(service).MaximumConnections
	candidates := e.gateway.inReach(e.gateway.askableLeafs(service, e.isGathered(), limit, versions, &e.targets[shard]))
	if len(e.request.route.Regions) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate balancer.Candidate) bool { return !e.allowsZone(candidate.Zone) })
}

// allowsZone reports whether leafs of a zone may run the request.
func (e *execution) allowsZone(zone string) bool {
	return len(e.request.route.Regions) == 0 || e.request.route.AllowsRegion(e.gateway.regions[zone])
}

// askableLeafs gives the leafs of a service of some versions that this node may ask, and sets targets to how. The limit
// is that of the connections of one leaf.
func (g *Gateway) askableLeafs(service string, gathered bool, limit int, versions canary.Versions, targets *[]leafTarget) []balancer.Candidate {
	*targets = nil
	var candidates []balancer.Candidate
	if versions != canary.Trial {
		candidates = g.appendAskable(candidates, service, gathered, limit, g.servingLeafs(service), targets)
	}
	if versions != canary.Serving {
		candidates = g.appendAskable(candidates, service, gathered, limit, g.trialLeafs(service, versions), targets)
	}
	return candidates
}

// appendAskable adds those of some leafs of one version that this node may ask, and to targets how.
func (g *Gateway) appendAskable(candidates []balancer.Candidate, service string, gathered bool, limit int, leafs []*leafset.Leaf, targets *[]leafTarget) []balancer.Candidate {
	dealt := g.dealer.Deal(service, gathered, leafs, limit)
	candidates = slices.Grow(candidates, len(dealt))
	*targets = slices.Grow(*targets, len(dealt))
	for _, part := range dealt {
		leaf := part.Leaf
		if part.Connections == 0 && !g.leafs.CanSpare(leaf.ID) {
			continue
		}
		if g.warmup != nil && !g.warmup.HasRoom(leaf) {
			continue
		}
		way := leafhttp.Target{Incarnation: leaf.ID, Name: leaf.Name, Address: leaf.Address, Connections: part.Connections, Spare: part.Spare}
		*targets = append(*targets, leafTarget{way, leaf})
		candidates = append(candidates, balancer.Candidate{LeafID: leaf.ID, Zone: leaf.Zone, Spare: part.Connections == 0, LastResort: part.LastResort})
	}
	return candidates
}

// servingLeafs gives the leafs of the version of a service that serves, also those lost a moment ago where there are
// no others.
func (g *Gateway) servingLeafs(service string) []*leafset.Leaf {
	leafs, _ := g.memory.Candidates(service)
	return leafs
}

// trialLeafs gives the leafs of the version of a service on trial, also those lost a moment ago where there are no
// others and all requests go to that version.
func (g *Gateway) trialLeafs(service string, versions canary.Versions) []*leafset.Leaf {
	if versions == canary.Trial {
		return g.memory.OnTrial(service)
	}
	return g.catalog.View().Leafs.OnTrial(service)
}

// target gives the leaf of an attempt.
func (e *execution) target(attempt scatter.Attempt) leafTarget {
	for _, target := range e.targets[attempt.Shard] {
		if target.Incarnation == attempt.Leaf.ID {
			return target
		}
	}
	return leafTarget{Target: leafhttp.Target{Incarnation: attempt.Leaf.ID}}
}

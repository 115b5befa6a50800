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
type target struct {
	leafhttp.Target
	leaf *leafset.Leaf
}

// candidates gives the leafs of a shard that may be asked now, without a draw, and keeps how.
func (w *gathering) candidates(shard int) []balancer.Candidate {
	return w.candidatesOf(shard, w.gateway.later(w.services[shard]))
}

// candidatesOf gives the leafs of a shard of some versions that may be asked now, and keeps how.
func (w *gathering) candidatesOf(shard int, versions canary.Versions) []balancer.Candidate {
	service := w.services[shard]
	limit := w.query.service(service).MaximumConnections
	candidates := w.gateway.inReach(w.gateway.partsOf(service, w.isGathered(), limit, versions, &w.targets[shard]))
	if len(w.query.entry.Regions) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate balancer.Candidate) bool { return !w.allowsZone(candidate.Zone) })
}

// allowsZone reports whether leafs of a zone may run the request.
func (w *gathering) allowsZone(zone string) bool {
	return len(w.query.entry.Regions) == 0 || w.query.entry.AllowsRegion(w.gateway.regions[zone])
}

// partsOf gives the leafs of a service of some versions that this node may ask, and sets targets to how. The limit
// is that of the connections of one leaf.
func (g *Gateway) partsOf(service string, gathered bool, limit int, versions canary.Versions, targets *[]target) []balancer.Candidate {
	*targets = nil
	var candidates []balancer.Candidate
	if versions != canary.Trial {
		candidates = g.addParts(candidates, service, gathered, limit, g.servingLeafs(service), targets)
	}
	if versions != canary.Serving {
		candidates = g.addParts(candidates, service, gathered, limit, g.trialLeafs(service, versions), targets)
	}
	return candidates
}

// addParts adds those of some leafs of one version that this node may ask, and to targets how.
func (g *Gateway) addParts(candidates []balancer.Candidate, service string, gathered bool, limit int, leafs []*leafset.Leaf, targets *[]target) []balancer.Candidate {
	dealt := g.dealer.Allot(service, gathered, leafs, limit)
	candidates = slices.Grow(candidates, len(dealt))
	*targets = slices.Grow(*targets, len(dealt))
	for _, part := range dealt {
		leaf := part.Leaf
		if part.Connections == 0 && !g.leafs.MayOpenExtra(leaf.ID) {
			continue
		}
		if g.warmup != nil && !g.warmup.HasToken(leaf) {
			continue
		}
		way := leafhttp.Target{LeafID: leaf.ID, Name: leaf.Name, Address: leaf.Address, Connections: part.Connections, ExtraConnections: part.ExtraConnections}
		*targets = append(*targets, target{way, leaf})
		candidates = append(candidates, balancer.Candidate{LeafID: leaf.ID, Zone: leaf.Zone, Unallotted: part.Connections == 0, LastResort: part.LastResort})
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
func (w *gathering) target(attempt scatter.Attempt) target {
	for _, target := range w.targets[attempt.Shard] {
		if target.LeafID == attempt.Leaf.ID {
			return target
		}
	}
	return target{Target: leafhttp.Target{LeafID: attempt.Leaf.ID}}
}

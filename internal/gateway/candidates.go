package gateway

import (
	"slices"

	"github.com/portgauge/portgauge/internal/balancer"
	"github.com/portgauge/portgauge/internal/leafhttp"
	"github.com/portgauge/portgauge/internal/scatter"
)

// candidates gives the leafs of a shard that may be asked now, and keeps how.
func (w *gathering) candidates(shard int) []balancer.Candidate {
	service := w.services[shard]
	limit := w.query.service(service).MaximumConnections
	candidates := w.gateway.inReach(w.gateway.partsOf(service, w.isGathered(), limit, &w.targets[shard]))
	if len(w.query.entry.Regions) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate balancer.Candidate) bool { return !w.allowsZone(candidate.Zone) })
}

// allowsZone reports whether leafs of a zone may run the request.
func (w *gathering) allowsZone(zone string) bool {
	return len(w.query.entry.Regions) == 0 || w.query.entry.AllowsRegion(w.gateway.regions[zone])
}

// partsOf gives the leafs of a service that this node may ask, and adds to targets how. The limit
// is that of the connections of one leaf.
func (g *Gateway) partsOf(service string, gathered bool, limit int, targets *[]leafhttp.Target) []balancer.Candidate {
	leafs, _ := g.memory.Candidates(service)
	dealt := g.dealer.Deal(service, gathered, leafs, limit)
	candidates := make([]balancer.Candidate, 0, len(dealt))
	*targets = make([]leafhttp.Target, 0, len(dealt))
	for _, part := range dealt {
		leaf := part.Leaf
		if part.Connections == 0 && !g.leafs.CanSpare(leaf.ID) {
			continue
		}
		if g.warmup != nil && !g.warmup.HasRoom(leaf) {
			continue
		}
		*targets = append(*targets, leafhttp.Target{Incarnation: leaf.ID, Address: leaf.Address, Connections: part.Connections, Spare: part.Spare})
		candidates = append(candidates, balancer.Candidate{LeafID: leaf.ID, Zone: leaf.Zone, Spare: part.Connections == 0, LastResort: part.LastResort})
	}
	return candidates
}

// target gives the leaf of an attempt.
func (w *gathering) target(attempt scatter.Attempt) leafhttp.Target {
	for _, target := range w.targets[attempt.Shard] {
		if target.Incarnation == attempt.Leaf.ID {
			return target
		}
	}
	return leafhttp.Target{Incarnation: attempt.Leaf.ID}
}

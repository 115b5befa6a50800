package gateway

import (
	"slices"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// isBetterServedElsewhere reports whether callers are better off with the nodes of other zones: this node has lost the
// zones of most nodes, and with them a gathered route that the others can serve.
//
// Where most nodes are on this side, or all routes can still be served, the node stays: so no cut empties
// both of its sides.
func (g *Gateway) isBetterServedElsewhere() bool {
	if !g.zones.IsCutOff() {
		return false
	}
	return slices.ContainsFunc(g.catalog.View().Routes.GatheredRoutes(), g.isOutOfReach)
}

// isOutOfReach reports whether lost zones keep a gathered route from its least coverage.
func (g *Gateway) isOutOfReach(entry *routing.Entry) bool {
	leafs := g.catalog.View().Leafs
	reached, known := 0, 0
	for _, service := range entry.Gathered {
		ready := leafs.Ready(service)
		if len(ready) > 0 {
			known++
		}
		if slices.ContainsFunc(ready, func(leaf *leafset.Leaf) bool { return g.zones.Reaches(leaf.Zone) }) {
			reached++
		}
	}
	required := max(1, entry.RequiredParts)
	return reached < required && known >= required
}

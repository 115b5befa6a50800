package gateway

import (
	"slices"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// Ready reports whether callers should connect to this node: it has routes, and no other zone serves them better.
func (g *Gateway) Ready() bool { return g.catalog.View().Routes != nil && !g.isBetterServedElsewhere() }

// isBetterServedElsewhere reports whether callers should go to the nodes of other zones: this node can't reach the
// zones of most nodes, and without them can't serve a gathered route that the others can serve.
//
// It stays ready if most nodes are on its side, or if it can still serve every route: a network partition never leaves
// both of its sides without ready nodes.
func (g *Gateway) isBetterServedElsewhere() bool {
	if !g.zones.IsCutOff() {
		return false
	}
	return slices.ContainsFunc(g.catalog.View().Routes.GatheredRoutes(), g.isOutOfReach)
}

// isOutOfReach reports whether a gathered route lacks its required parts only because zones are unreachable.
func (g *Gateway) isOutOfReach(route *routing.Entry) bool {
	leafs := g.catalog.View().Leafs
	reached, known := 0, 0
	for _, service := range route.Gathered {
		ready := leafs.Ready(service)
		if len(ready) > 0 {
			known++
		}
		if slices.ContainsFunc(ready, func(leaf *leafset.Leaf) bool { return g.zones.Reaches(leaf.Zone) }) {
			reached++
		}
	}
	required := max(1, route.RequiredParts)
	return reached < required && known >= required
}

package gateway

import (
	"slices"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// Ready reports whether callers should connect to this node: it has routes, and no other zone serves them better.
func (g *Gateway) Ready() bool { return g.catalog.View().Routes != nil && !g.otherZonesServeBetter() }

// otherZonesServeBetter reports whether callers should use nodes in other zones: this node cannot reach the zones of
// most nodes, and without them cannot serve a gathered route that those nodes can serve. A node that reaches most nodes
// or can still serve every route stays ready, so that a network partition never leaves both sides without ready nodes.
func (g *Gateway) otherZonesServeBetter() bool {
	if !g.zones.IsCutOff() {
		return false
	}
	return slices.ContainsFunc(g.catalog.View().Routes.GatheredRoutes(), g.isUnreachable)
}

// isUnreachable reports whether a gathered route lacks its required parts only because zones are unreachable.
func (g *Gateway) isUnreachable(route *routing.Entry) bool {
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

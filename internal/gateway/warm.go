package gateway

import (
	"github.com/portgauge/portgauge/internal/leafhttp"
)

// mostWarmed bounds the connections that a node opens before its first request.
const mostWarmed = 512

// Warm opens a connection to one leaf of each gathered service that this node has a part of: a
// first request that had to open all of them would spend most of its objective on it.
func (g *Gateway) Warm() {
	table := g.catalog.View().Routes
	if table == nil {
		return
	}
	warmed := map[string]bool{}
	for _, route := range table.Routes {
		for _, service := range route.Gathered {
			if len(warmed) >= mostWarmed || warmed[service] {
				continue
			}
			warmed[service] = true
			limit := 0
			if known, found := table.Service(service); found {
				limit = known.MaximumConnections
			}
			g.warmOne(service, limit)
		}
	}
}

// warmOne opens a connection to the leaf that a first request would ask.
func (g *Gateway) warmOne(service string, limit int) {
	var targets []leafhttp.Target
	candidates := g.partsOf(service, limit, &targets)
	choice := g.balancer.Choose(candidates, nil)
	if choice.Leaf == nil {
		return
	}
	for _, target := range targets {
		if target.Incarnation == choice.Leaf.ID && target.Connections > 0 {
			g.leafs.Warm(target)
		}
	}
}

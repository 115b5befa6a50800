package gateway

import (
	"context"
	"slices"

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
	choice := g.balancer.Choose(g.partsOf(service, true, limit, &targets), nil)
	if choice.Leaf == nil {
		return
	}
	first := slices.IndexFunc(targets, func(target leafhttp.Target) bool { return target.Incarnation == choice.Leaf.ID })
	targets[0], targets[first] = targets[first], targets[0]
	if targets[0].Connections > 0 {
		g.leafs.Warm(targets)
	}
}

// changeBacklog is how many changes of configuration may wait to be looked at.
const changeBacklog = 16

// KeepWarm opens connections for the services that the configuration gathers, and for those of each
// new one, as when an index was cut into other shards, until the context ends.
func (g *Gateway) KeepWarm(ctx context.Context) {
	changes, stop := g.catalog.Subscribe(changeBacklog)
	defer stop()
	warmed := g.catalog.View().Routes
	g.Warm()
	for {
		select {
		case <-changes:
			if routes := g.catalog.View().Routes; routes != warmed {
				warmed = routes
				g.Warm()
			}
		case <-ctx.Done():
			return
		}
	}
}

package gateway

import (
	"context"
	"slices"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// Connections are opened before requests need them. Otherwise the first gathered request would open one per shard,
// which takes most of its objective.

// maximumWarmed bounds the services to which a node opens connections in advance.
const maximumWarmed = 512

// Warm opens a connection to one leaf of each gathered service, if this node is allotted connections to the leaf.
func (g *Gateway) Warm() {
	table := g.catalog.View().Routes
	if table == nil {
		return
	}
	warmed := map[string]bool{}
	for _, route := range table.Routes {
		for _, service := range route.Gathered {
			if len(warmed) >= maximumWarmed || warmed[service] {
				continue
			}
			warmed[service] = true
			limit := 0
			if configured, found := table.Service(service); found {
				limit = configured.MaximumConnections
			}
			g.warmService(service, limit)
		}
	}
}

// warmService opens a connection to the leaf that a first request would go to.
func (g *Gateway) warmService(service string, limit int) {
	queried := queriedService{name: service, isGathered: true, maximumConnections: limit}
	var targets []leafTarget
	choice := g.balancer.Choose(g.usableLeafs(queried, g.retryRole(service), &targets), nil)
	if choice.Leaf != nil {
		g.warmLeaf(choice.Leaf.ID, targets)
	}
}

// warmLeaf opens a connection to the leaf with the given ID, if this node is allotted connections to it and no
// connection to any of the targets is open.
func (g *Gateway) warmLeaf(id string, targets []leafTarget) {
	first := slices.IndexFunc(targets, func(target leafTarget) bool { return target.LeafID == id })
	if first < 0 || targets[first].Connections == 0 {
		return
	}
	ordered := make([]leafhttp.Target, 0, len(targets))
	for _, target := range targets {
		ordered = append(ordered, target.Target)
	}
	ordered[0], ordered[first] = ordered[first], ordered[0]
	g.leafs.Warm(ordered)
}

// warmCanaryLeafs opens a connection to a leaf of each canary version that this node may select, once per rollout spec.
// warmed stores the specs that are done, by service.
func (g *Gateway) warmCanaryLeafs(warmed map[string]int64) {
	view := g.catalog.View()
	for service := range warmed {
		if view.Leafs.Rule(service).Canary == "" {
			delete(warmed, service)
		}
	}
	for service := range view.Rollouts {
		specID := view.Leafs.Rule(service).SpecID
		if specID == 0 || warmed[service] == specID || len(warmed) >= maximumWarmed || !g.canary.IsCanaryOpen(service) {
			continue
		}
		if g.warmCanary(view, service) {
			warmed[service] = specID
		}
	}
}

// warmCanary opens a connection to the canary that is selected first, and reports whether there is any canary.
func (g *Gateway) warmCanary(view *catalog.View, service string) bool {
	leafs := g.canary.FocusOrder(service, view.Leafs.CanaryLeafs(service))
	if len(leafs) == 0 || view.Routes == nil {
		return false
	}
	configured, _ := view.Routes.Service(service)
	queried := queriedService{name: service, isGathered: view.Routes.IsGathered(service), maximumConnections: configured.MaximumConnections}
	var targets []leafTarget
	g.usableLeafs(queried, canary.Canary, &targets)
	for _, leaf := range leafs {
		if slices.ContainsFunc(targets, func(target leafTarget) bool { return target.LeafID == leaf.ID && target.Connections > 0 }) {
			g.warmLeaf(leaf.ID, targets)
			break
		}
	}
	return true
}

// changeBacklog is how many catalog changes are queued for KeepWarm. More are not needed, since it reads the newest
// view.
const changeBacklog = 16

// KeepWarm opens connections for the gathered services of the configuration in force, again for each new configuration,
// and for each new canary version, until the context is done.
func (g *Gateway) KeepWarm(ctx context.Context) {
	changes, stop := g.catalog.Subscribe(changeBacklog)
	defer stop()
	warmed := g.catalog.View().Routes
	warmedSpecs := map[string]int64{}
	g.Warm()
	g.followRollouts(warmedSpecs)
	for {
		select {
		case <-changes:
			g.followRollouts(warmedSpecs)
			if routes := g.catalog.View().Routes; routes != warmed {
				warmed = routes
				g.Warm()
			}
		case <-ctx.Done():
			return
		}
	}
}

// followRollouts reads new rollout specs and warms the canary versions.
func (g *Gateway) followRollouts(warmed map[string]int64) {
	if g.canary == nil {
		return
	}
	g.canary.Refresh()
	g.warmCanaryLeafs(warmed)
}

package gateway

import (
	"slices"
	"sync"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/rollout"
)

// placement groups the shards of gathered routes by the zones of their leafs. It is safe for concurrent use.
type placement struct {
	catalog *catalog.Catalog
	zone    string            // of this node
	regions map[string]string // by zone

	mu     sync.Mutex
	leafs  *leafset.Set // the leafs that the groups were built from
	groups map[*routing.Entry][]zoneGroup
}

// zoneGroup is a set of shards of a route that are best gathered in the same zones.
type zoneGroup struct {
	// zones are equally good: each has a leaf of every shard.
	zones map[string]bool
	// shards are indices into the route's services.
	shards []int
}

func newPlacement(source *catalog.Catalog, zone string, regions map[string]string) *placement {
	return &placement{catalog: source, zone: zone, regions: regions, groups: map[*routing.Entry][]zoneGroup{}}
}

// maximumPlacements bounds the routes whose groups are cached.
const maximumPlacements = 1024

// groupsOf returns the groups of a gathered route. The first group has the shards with a leaf in this node's zone. Each
// further group has the shards of the zone with leafs of the most remaining shards. Leafs outside the route's regions
// don't count, so that nodes in other regions don't read its requests. The slices are shared: callers must not modify
// them.
func (p *placement) groupsOf(route *routing.Entry) []zoneGroup {
	leafs := p.catalog.View().Leafs
	p.mu.Lock()
	defer p.mu.Unlock()
	if leafs != p.leafs || len(p.groups) >= maximumPlacements {
		p.leafs = leafs
		clear(p.groups)
	}
	groups, found := p.groups[route]
	if !found {
		groups = p.build(route, leafs)
		p.groups[route] = groups
	}
	return groups
}

func (p *placement) build(route *routing.Entry, leafs *leafset.Set) []zoneGroup {
	zones := make([]map[string]bool, len(route.Gathered))
	own := zoneGroup{zones: map[string]bool{p.zone: true}}
	var rest []int
	for index, service := range route.Gathered {
		zones[index] = p.zonesOf(route, leafs, service)
		if zones[index][p.zone] {
			own.shards = append(own.shards, index)
		} else {
			rest = append(rest, index)
		}
	}
	groups := []zoneGroup{own}
	for len(rest) > 0 {
		largest := largestGroup(rest, zones)
		if len(largest.shards) == 0 {
			break
		}
		groups = append(groups, largest)
		rest = slices.DeleteFunc(rest, func(index int) bool { return slices.Contains(largest.shards, index) })
	}
	return groups
}

// zonesOf returns the zones with leafs of a service that may run the route's requests.
func (p *placement) zonesOf(route *routing.Entry, leafs *leafset.Set, service string) map[string]bool {
	zones := map[string]bool{}
	for _, leaf := range placedLeafs(leafs, service) {
		if route.AllowsRegion(p.regions[leaf.Zone]) {
			zones[leaf.Zone] = true
		}
	}
	return zones
}

// placedLeafs returns the leafs that determine the placement of a service: the serving ones, or the canary leafs once
// requests are being switched to their version.
func placedLeafs(leafs *leafset.Set, service string) []*leafset.Leaf {
	if leafs.Rule(service).Phase == rollout.PhaseSwitching {
		return leafs.CanaryLeafs(service)
	}
	return leafs.Ready(service)
}

// largestGroup returns the largest subset of the remaining shards for which a single zone has leafs, with all zones
// that have leafs of every shard in it. Ties go to the first zone by name.
func largestGroup(rest []int, zones []map[string]bool) zoneGroup {
	counts := map[string]int{}
	for _, index := range rest {
		for zone := range zones[index] {
			counts[zone]++
		}
	}
	best := ""
	for zone, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && zone < best {
			best = zone
		}
	}
	largest := zoneGroup{zones: map[string]bool{}}
	for _, index := range rest {
		if zones[index][best] {
			largest.shards = append(largest.shards, index)
		}
	}
	for zone := range counts {
		largest.zones[zone] = !slices.ContainsFunc(largest.shards, func(index int) bool { return !zones[index][zone] })
	}
	return largest
}

package gateway

import (
	"slices"
	"sync"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/rollout"
)

// placement groups the shards of gathered routes by the zones of their leafs; it is safe for concurrent use.
type placement struct {
	catalog *catalog.Catalog
	zone    string            // this node's own
	regions map[string]string // by zone

	mu     sync.Mutex
	leafs  *leafset.Set // from which the groups were made
	groups map[*routing.Entry][]zoneGroup
}

// zoneGroup is a set of shards of a route that are best gathered in the same zones.
type zoneGroup struct {
	// zones are equally good: each has a leaf of every shard.
	zones map[string]bool
	// shards are indices into the route's services.
	shards []int
}

func newPlacement(known *catalog.Catalog, zone string, regions map[string]string) *placement {
	return &placement{catalog: known, zone: zone, regions: regions, groups: map[*routing.Entry][]zoneGroup{}}
}

// maximumPlacements bounds the routes whose groups are kept.
const maximumPlacements = 1024

// of returns the groups of a gathered route. The first has the shards with a leaf in this node's zone; the others are
// made from the rest, each by the zone that has leafs of most of what is left. Only leafs in regions that the route
// allows count, so that no node elsewhere reads its requests. The slices are shared: callers must not change them.
func (p *placement) of(route *routing.Entry) []zoneGroup {
	leafs := p.catalog.View().Leafs
	p.mu.Lock()
	defer p.mu.Unlock()
	if leafs != p.leafs || len(p.groups) >= maximumPlacements {
		p.leafs = leafs
		clear(p.groups)
	}
	groups, found := p.groups[route]
	if !found {
		groups = p.find(route, leafs)
		p.groups[route] = groups
	}
	return groups
}

// find makes the groups of a route.
func (p *placement) find(route *routing.Entry, leafs *leafset.Set) []zoneGroup {
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

// zonesOf returns the zones that have leafs of a service which may run the route's requests.
func (p *placement) zonesOf(route *routing.Entry, leafs *leafset.Set, service string) map[string]bool {
	zones := map[string]bool{}
	for _, leaf := range placedLeafs(leafs, service) {
		if route.AllowsRegion(p.regions[leaf.Zone]) {
			zones[leaf.Zone] = true
		}
	}
	return zones
}

// placedLeafs returns the leafs by which a service is placed: the serving ones, or the canaries once requests are
// being switched to their version.
func placedLeafs(leafs *leafset.Set, service string) []*leafset.Leaf {
	if leafs.Rule(service).Phase == rollout.Switching {
		return leafs.Canaries(service)
	}
	return leafs.Ready(service)
}

// largestGroup returns the largest set of shards of the rest that a single zone has leafs of, with all zones that have leafs of
// each of them. Ties go to the first zone by name.
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

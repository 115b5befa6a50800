package gateway

import (
	"slices"
	"sync"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/rollout"
)

// placement knows in which zones the leafs of gathered routes are; safe for concurrent use.
type placement struct {
	catalog *catalog.Catalog
	zone    string            // this node's own
	regions map[string]string // by zone

	mu    sync.Mutex
	leafs *leafset.Set // those that parts were found by
	parts map[*routing.Entry][]zoneGroup
}

// zoneGroup is some services of a route that are best gathered in the same zones.
type zoneGroup struct {
	// zones are equally good.
	zones map[string]bool
	// shards are indices into the route's services.
	shards []int
}

func newPlacement(known *catalog.Catalog, zone string, regions map[string]string) *placement {
	return &placement{catalog: known, zone: zone, regions: regions, parts: map[*routing.Entry][]zoneGroup{}}
}

// maximumPlacements bounds the routes whose parts are kept.
const maximumPlacements = 1024

// of gives the parts of a gathered route: the services with a leaf in the own zone, and the others,
// by the zones that have most of them. Only leafs in regions that the route is allowed count, so that no
// node elsewhere reads its requests. The slices are shared: callers must not change them.
func (p *placement) of(entry *routing.Entry) []zoneGroup {
	leafs := p.catalog.View().Leafs
	p.mu.Lock()
	defer p.mu.Unlock()
	if leafs != p.leafs || len(p.parts) >= maximumPlacements {
		p.leafs = leafs
		clear(p.parts)
	}
	parts, found := p.parts[entry]
	if !found {
		parts = p.find(entry, leafs)
		p.parts[entry] = parts
	}
	return parts
}

func (p *placement) find(entry *routing.Entry, leafs *leafset.Set) []zoneGroup {
	zones := make([]map[string]bool, len(entry.Gathered))
	own := zoneGroup{zones: map[string]bool{p.zone: true}}
	var rest []int
	for index, service := range entry.Gathered {
		zones[index] = map[string]bool{}
		for _, leaf := range placedLeafs(leafs, service) {
			if entry.AllowsRegion(p.regions[leaf.Zone]) {
				zones[index][leaf.Zone] = true
			}
		}
		if zones[index][p.zone] {
			own.shards = append(own.shards, index)
		} else {
			rest = append(rest, index)
		}
	}
	parts := []zoneGroup{own}
	for len(rest) > 0 {
		part := largestGroup(rest, zones)
		if len(part.shards) == 0 {
			break
		}
		parts = append(parts, part)
		rest = slices.DeleteFunc(rest, func(index int) bool { return slices.Contains(part.shards, index) })
	}
	return parts
}

// placedLeafs gives the leafs of a service that requests go by: those on trial once their version was found good.
func placedLeafs(leafs *leafset.Set, service string) []*leafset.Leaf {
	if leafs.Rule(service).Phase == rollout.Switching {
		return leafs.OnTrial(service)
	}
	return leafs.Ready(service)
}

// largestGroup gives the most services that some zone has leafs of, with all zones that have them.
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
	part := zoneGroup{zones: map[string]bool{}}
	for _, index := range rest {
		if zones[index][best] {
			part.shards = append(part.shards, index)
		}
	}
	for zone := range counts {
		part.zones[zone] = !slices.ContainsFunc(part.shards, func(index int) bool { return !zones[index][zone] })
	}
	return part
}

package gateway

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/routing"
	"github.com/portgauge/portgauge/internal/scatter"
	"github.com/portgauge/portgauge/internal/servingtree"
)

// Fleet gives the nodes that gather requests; registry.Census is the real one.
type Fleet interface {
	Gatherers() []catalog.NodeRecord
}

// Intermediates passes groups on to other nodes; servingtree.Client is the real one.
type Intermediates interface {
	Start(address string, ask servingtree.Ask) *servingtree.Call
	// DropSilent closes the connection to a node if nothing came from there for so long.
	DropSilent(address string, silence time.Duration, cause error)
}

// group is the services that one other node gathers.
type group struct {
	node catalog.NodeRecord
	// shards are indices into the route's services.
	shards []int
}

// scatterGroups puts groups as the scatter engine takes them.
func scatterGroups(groups []group) []scatter.Group {
	if len(groups) == 0 {
		return nil
	}
	plain := make([]scatter.Group, len(groups))
	for index, group := range groups {
		plain[index] = scatter.Group{Shards: group.shards}
	}
	return plain
}

// root is the side of the serving tree that asks other nodes to gather.
type root struct {
	self          catalog.NodeRecord
	fleet         Fleet
	intermediates Intermediates
	placement     *placement
	standing      *standing
	// hop is what the ways to and from an intermediate take.
	hop lagTracker
}

func newRoot(parts Parts) *root {
	return &root{
		self: parts.Self, fleet: parts.Fleet, intermediates: parts.Intermediates,
		placement: newPlacement(parts.Catalog, parts.Self.Zone), standing: newStanding(),
	}
}

// leastGroup is how many services a group must have to be worth a hop.
const leastGroup = 3

// groups gives the services of a route that other nodes gather: those of other zones, by a node
// there, and, where others of the own zone have far more processors, the rest, by one of them.
func (r *root) groups(entry *routing.Entry) []group {
	gatherers := r.fleet.Gatherers()
	isGatherer := slices.ContainsFunc(gatherers, func(node catalog.NodeRecord) bool { return node.ID == r.self.ID })
	var groups []group
	for _, part := range r.placement.of(entry) {
		if len(part.shards) < leastGroup || part.zones[r.self.Zone] && isGatherer {
			continue
		}
		node, found := r.standing.choose(gatherers, func(node catalog.NodeRecord) bool {
			return node.Tree != "" && node.ID != r.self.ID && part.zones[node.Zone]
		})
		if found {
			groups = append(groups, group{node: node, shards: part.shards})
		}
	}
	return groups
}

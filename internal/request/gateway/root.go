package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// Fleet gives the nodes that gather requests; registry.Census is the real one.
type Fleet interface {
	Gatherers() []catalog.NodeRecord
	// IsGatherer reports whether this node is one of them.
	IsGatherer() bool
}

// Intermediates passes groups on to other nodes; servingtree.Client is the real one.
type Intermediates interface {
	Start(address string, ask servingtree.Request) *servingtree.Call
	// DropSilent closes the connection to a node if nothing came from there for so long.
	DropSilent(address string, silence time.Duration, cause error)
}

// group is the services that one other node gathers.
type group struct {
	node catalog.NodeRecord
	// zones are those whose nodes can gather it.
	zones map[string]bool
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
	nodes         *nodeTracker
	zones         *reachability.Tracker
	// hop is what the ways to and from an intermediate take.
	hop lagTracker
}

// initialHop is what the ways to and from an intermediate are taken for until that is learnt: two ways
// between zones of 1 to 1.5 ms, and as much for two nodes to read and write a line. A root of a large
// fleet makes so few requests that it would learn it late.
const initialHop = 5 * time.Millisecond

func newRoot(deps Deps) *root {
	return &root{
		self: deps.Self, fleet: deps.Fleet, intermediates: deps.Intermediates,
		placement: newPlacement(deps.Catalog, deps.Self.Zone, deps.Regions), nodes: newNodeTracker(),
		zones: deps.Zones, hop: lagTracker{lag: initialHop},
	}
}

// minimumGroup is how many services a group must have to be worth a hop.
const minimumGroup = 3

// groups gives the services of a route that other nodes gather: those of other zones, by a node
// there, and, where others of the own zone have far more processors, the rest, by one of them.
func (r *root) groups(entry *routing.Entry) []group {
	isGatherer := r.fleet.IsGatherer()
	var groups []group
	for _, part := range r.placement.of(entry) {
		if len(part.shards) < minimumGroup || part.zones[r.self.Zone] && isGatherer {
			continue
		}
		if node, found := r.choose(part.zones); found {
			groups = append(groups, group{node: node, zones: part.zones, shards: part.shards})
		}
	}
	return groups
}

// choose gives another node in one of some zones that can be asked to gather; false when there is none.
func (r *root) choose(zones map[string]bool) (catalog.NodeRecord, bool) {
	return r.nodes.choose(r.fleet.Gatherers(), func(node catalog.NodeRecord) bool {
		return node.Tree != "" && node.ID != r.self.ID && zones[node.Zone] && r.zones.Reaches(node.Zone)
	})
}

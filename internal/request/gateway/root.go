package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// Fleet lists the nodes that may gather groups; registry.Fleet implements it.
type Fleet interface {
	Gatherers() []catalog.NodeRecord
	// IsGatherer reports whether this node is one of them.
	IsGatherer() bool
}

// Intermediates sends groups to other nodes; servingtree.Client implements it.
type Intermediates interface {
	Start(address string, request servingtree.Request) *servingtree.Call
	// DropSilent closes the connection to a node if nothing was received on it for that long.
	DropSilent(address string, silence time.Duration, cause error)
}

// group is a set of shards that one other node is asked to gather.
type group struct {
	node catalog.NodeRecord
	// zones are those whose nodes can gather the group as well.
	zones map[string]bool
	// shards are indices into the route's services.
	shards []int
}

// scatterGroups converts groups for package scatter.
func scatterGroups(groups []group) []scatter.Group {
	if len(groups) == 0 {
		return nil
	}
	converted := make([]scatter.Group, len(groups))
	for index, group := range groups {
		converted[index] = scatter.Group{Shards: group.shards}
	}
	return converted
}

// root chooses the groups of a request that other nodes gather, and those nodes.
type root struct {
	self          catalog.NodeRecord
	fleet         Fleet
	intermediates Intermediates
	placement     *placement
	nodes         *nodeTracker
	zones         *reachability.Tracker
	// hop estimates the round-trip time to an intermediate.
	hop lagTracker
}

// initialHop is the estimate of the round trip to an intermediate until it is measured: two trips between zones of 1 to
// 1.5 ms, and as much for both nodes to write and read a message. A root of a large fleet makes so few requests that it
// would take long to learn it.
const initialHop = 5 * time.Millisecond

func newRoot(deps Deps) *root {
	return &root{
		self: deps.Self, fleet: deps.Fleet, intermediates: deps.Intermediates,
		placement: newPlacement(deps.Catalog, deps.Self.Zone, deps.Regions), nodes: newNodeTracker(),
		zones: deps.Zones, hop: lagTracker{lag: initialHop},
	}
}

// minimumGroup is how many shards a group must have to be worth the round trip to another node.
const minimumGroup = 3

// groups returns the groups of a route that other nodes gather:
//
//   - the shards without a leaf in this node's zone, by a node of a zone that has their leafs, since one merged answer
//     crosses zones instead of many parts;
//   - the other shards, by another node of this zone, unless this node is one of the fleet's gatherers. Nodes with far
//     fewer processors than others of their zone are not: the gatherers keep the connections to leafs.
//
// Groups below minimumGroup, and those for which no node can be asked, are left to this node.
func (r *root) groups(route *routing.Entry) []group {
	isGatherer := r.fleet.IsGatherer()
	var groups []group
	for _, placed := range r.placement.of(route) {
		if len(placed.shards) < minimumGroup || placed.zones[r.self.Zone] && isGatherer {
			continue
		}
		if node, found := r.choose(placed.zones); found {
			groups = append(groups, group{node: node, zones: placed.zones, shards: placed.shards})
		}
	}
	return groups
}

// choose returns another node, in one of the zones and reachable, that can be asked to gather; false if there is none.
func (r *root) choose(zones map[string]bool) (catalog.NodeRecord, bool) {
	return r.nodes.choose(r.fleet.Gatherers(), func(node catalog.NodeRecord) bool {
		return node.Tree != "" && node.ID != r.self.ID && zones[node.Zone] && r.zones.Reaches(node.Zone)
	})
}

// chooseGroups returns the groups of the request that other nodes gather. During a quarantine alert, at least
// one shard is left to this node for the attempt that goes ahead.
func (e *execution) chooseGroups() []group {
	groups := e.gateway.root.groups(e.request.route)
	if e.tracked != nil && e.tracked.IsAlert() {
		return keepOneShard(groups, len(e.services))
	}
	return groups
}

// assignGroups sets the groups that other nodes are asked for before this node asks the leafs itself.
func (e *execution) assignGroups(groups []group) {
	e.groups = groups
	e.inGroup = make([]bool, len(e.services))
	for _, group := range groups {
		for _, shard := range group.shards {
			e.inGroup[shard] = true
		}
	}
}

// isInGroup reports whether another node is asked for a shard first.
func (e *execution) isInGroup(shard int) bool { return len(e.groups) > 0 && e.inGroup[shard] }

package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// Fleet lists the nodes that may gather groups; registry.Fleet implements it. A gatherer is a node that may query the
// leafs of gathered services. The gatherer that receives a group is its intermediate.
type Fleet interface {
	Gatherers() []catalog.NodeRecord
	// IsGatherer reports whether this node is one of them.
	IsGatherer() bool
}

// Intermediates sends groups to other nodes; servingtree.Client implements it.
type Intermediates interface {
	Start(address string, request servingtree.Request) *servingtree.Call
	// DropSilent closes the connection to a node if nothing was received on it for the given time.
	DropSilent(address string, silence time.Duration, cause error)
}

// group is a set of shards that one other node gathers.
type group struct {
	node catalog.NodeRecord
	// zones are the zones whose nodes can gather the group.
	zones map[string]bool
	// shards are indices into the route's services.
	shards []int
}

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
	// roundTrip estimates the round-trip time to an intermediate.
	roundTrip delayEstimator
}

// initialRoundTrip is the estimate of the round trip to an intermediate until it is measured. It includes the network
// between zones, and writing and reading the messages. In a large fleet each root serves too few requests to measure it
// quickly.
const initialRoundTrip = 5 * time.Millisecond

func newRoot(deps Deps) *root {
	return &root{
		self: deps.Self, fleet: deps.Fleet, intermediates: deps.Intermediates,
		placement: newPlacement(deps.Catalog, deps.Self.Zone, deps.Regions), nodes: newNodeTracker(),
		zones: deps.Zones, roundTrip: delayEstimator{estimate: initialRoundTrip},
	}
}

// minimumGroup is how many shards a group needs to be worth the round trip to another node.
const minimumGroup = 3

// groups returns the groups of a route that other nodes gather:
//
//   - the shards without a leaf in this node's zone: a node in the zone of their leafs gathers them, since one merged
//     answer then crosses zones instead of many parts;
//   - the other shards, if this node is not a gatherer: a gatherer in this zone gathers them. Nodes with far fewer
//     processors than others in their zone are not gatherers, so that only large nodes hold connections to leafs.
//
// This node itself queries the leafs of groups smaller than minimumGroup and of groups that no node can gather.
func (r *root) groups(route *routing.Entry) []group {
	isGatherer := r.fleet.IsGatherer()
	var groups []group
	for _, placed := range r.placement.groupsOf(route) {
		if len(placed.shards) < minimumGroup || placed.zones[r.self.Zone] && isGatherer {
			continue
		}
		if node, found := r.choose(placed.zones); found {
			groups = append(groups, group{node: node, zones: placed.zones, shards: placed.shards})
		}
	}
	return groups
}

// choose returns another node that is reachable, in one of the zones and not paused; false if there is none.
func (r *root) choose(zones map[string]bool) (catalog.NodeRecord, bool) {
	return r.nodes.choose(r.fleet.Gatherers(), func(node catalog.NodeRecord) bool {
		return node.Tree != "" && node.ID != r.self.ID && zones[node.Zone] && r.zones.Reaches(node.Zone)
	})
}

// chooseGroups returns the groups of the request that other nodes gather. During a quarantine alert, at least one shard
// is left to this node for the first attempt.
func (e *execution) chooseGroups() []group {
	groups := e.gateway.root.groups(e.request.route)
	if e.tracked != nil && e.tracked.IsAlert() {
		return keepOneShard(groups, len(e.services))
	}
	return groups
}

// assignGroups sets the groups that other nodes gather first. This node queries their shards only if that fails.
func (e *execution) assignGroups(groups []group) {
	e.groups = groups
	e.inGroup = make([]bool, len(e.services))
	for _, group := range groups {
		for _, shard := range group.shards {
			e.inGroup[shard] = true
		}
	}
}

// isInGroup reports whether another node gathers a shard first.
func (e *execution) isInGroup(shard int) bool { return len(e.groups) > 0 && e.inGroup[shard] }

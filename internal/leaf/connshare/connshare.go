// Package connshare allots the connections that leafs accept among the nodes of a fleet.
//
// A leaf accepts a limited number of connections from all nodes together and resets any beyond. Each node takes an
// equal share. If that is less than one connection per leaf, each node keeps to some of a service's leafs, those of its
// own zone first. Allotments are made for the worst case: most of the time other nodes leave part of theirs unused, so
// that a node may open extra connections, and stops for a while when a leaf refuses one (see package leafhttp).
//
// A leaf does not notice when machines lose power: the connections of their processes count until the leaf closes them
// as idle. A node that started a short while ago therefore leaves room for those of its predecessor.
//
// Nodes compute their allotments without messages, from the fleet as package registry knows it. The package keeps the
// computed allotments in memory, starts no goroutines, and returns no errors.
package connshare

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// maximumKept bounds the services whose allotments are kept; beyond it all are computed again.
const maximumKept = 4096

// Fleet returns the nodes that share the leafs, sorted by id; none while they are unknown. A slice is
// never modified once it was returned.
type Fleet interface {
	Nodes() []catalog.NodeRecord
	// Gatherers are those of the nodes that ask the leafs of gathered services.
	Gatherers() []catalog.NodeRecord
}

// Allotment is a leaf with this node's share of its connections.
type Allotment struct {
	Leaf *leafset.Leaf
	// Connections is the number of connections allotted to the node, 0 for leafs that are allotted to other nodes.
	Connections int
	// ExtraConnections is how many more may be opened while the leaf accepts them: connections that others leave
	// unused, and those beyond Config.Share.
	ExtraConnections int
	// LastResort says that the leaf is only for requests that the node's own leafs refuse.
	LastResort bool
}

// Allocator allots connections to one node; safe for concurrent use.
type Allocator struct {
	config  Config
	fleet   Fleet
	self    catalog.NodeRecord
	now     func() time.Time
	started time.Time

	mu   sync.Mutex
	kept map[serviceKey]allocation
}

// serviceKey is a service, and whether it is asked for gathered requests. The leafs of two versions of a service
// are allotted separately; the version is that of the first leaf.
type serviceKey struct {
	name     string
	gathered bool
	version  string
}

// allocation is the result of allotting a service's leafs, with its inputs.
type allocation struct {
	nodes      []catalog.NodeRecord
	leafs      []*leafset.Leaf
	limit      int // connections per leaf; 0 or less means none
	isNew      bool
	allotments []Allotment
}

// hasSameInputs reports whether two allocations are by the same nodes and leafs, identified by their shared slices.
func (a allocation) hasSameInputs(other allocation) bool {
	return leafset.SameSlice(a.nodes, other.nodes) && leafset.SameSlice(a.leafs, other.leafs) && a.limit == other.limit && a.isNew == other.isNew
}

// New returns the allocator of a node that starts now.
func New(config Config, fleet Fleet, self catalog.NodeRecord) *Allocator {
	return &Allocator{config: config, fleet: fleet, self: self, now: time.Now, started: time.Now(), kept: map[serviceKey]allocation{}}
}

// Allot returns the leafs of a service with this node's allotments. The limit is the leafs' own in connections, 0
// meaning none. Leafs of gathered services are shared by the nodes that gather; another node may open only extra
// connections to them. The slice is shared: callers must not modify it.
func (a *Allocator) Allot(name string, gathered bool, leafs []*leafset.Leaf, limit int) []Allotment {
	if len(leafs) == 0 {
		return nil
	}
	service := serviceKey{name, gathered, leafs[0].Version}
	wanted := allocation{nodes: a.fleet.Nodes(), leafs: leafs, limit: limit, isNew: a.isNew()}
	if gathered {
		wanted.nodes = a.fleet.Gatherers()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, found := a.kept[service]; found && known.hasSameInputs(wanted) {
		return known.allotments
	}
	if len(a.kept) >= maximumKept {
		clear(a.kept)
	}
	wanted.allotments = a.allot(name, wanted)
	a.kept[service] = wanted
	return wanted.allotments
}

// allot decides how many connections this node may have to each leaf of a service.
//
// Inputs: the nodes that share the leafs, the leafs with their zones, the limit of each leaf in connections, and whether
// this node is new, that is, started less than Config.StartSpan ago.
//
// Rule: without a limit, Config.Unlimited each. With one, an equal share of the part of the limit that is in use (see
// connectionsPerNode). If that is less than one connection, the node gets one connection to each of its own leafs (see
// ownLeafs), and only extra connections to the others. A new node uses leafs that are not its own only as a last
// resort; the same goes for one that is not among those that share the leafs.
func (a *Allocator) allot(service string, by allocation) []Allotment {
	allotments := make([]Allotment, len(by.leafs))
	for index, leaf := range by.leafs {
		allotments[index] = Allotment{Leaf: leaf, Connections: a.config.Unlimited}
	}
	if by.limit <= 0 {
		return allotments
	}
	perNode := a.connectionsPerNode(len(by.nodes), by.limit, by.isNew)
	isLeftOut := a.isLeftOut(by.nodes)
	if perNode >= 1 && !isLeftOut {
		for index := range allotments {
			allotments[index].Connections = min(int(perNode), a.config.Unlimited)
			allotments[index].ExtraConnections = a.extra(by.isNew)
		}
		return allotments
	}
	for index := range allotments {
		allotments[index].Connections, allotments[index].ExtraConnections = 0, a.config.Spare
		allotments[index].LastResort = by.isNew
	}
	if isLeftOut {
		return allotments
	}
	for _, index := range a.ownLeafs(service, by, perNode) {
		own := &allotments[index]
		own.Connections, own.ExtraConnections, own.LastResort = 1, a.extra(by.isNew), false
	}
	return allotments
}

// extra returns how many connections to an own leaf may be opened beyond the allotment: none for a new
// node, since connections that look unused may be those of a dead process.
func (a *Allocator) extra(isNew bool) int {
	if isNew {
		return 0
	}
	return a.config.Spare
}

// isNew reports whether the node started a short while ago.
func (a *Allocator) isNew() bool { return a.now().Sub(a.started) < a.config.StartSpan }

// isLeftOut reports whether the node is known, but not one of those that share some leafs.
func (a *Allocator) isLeftOut(nodes []catalog.NodeRecord) bool {
	isSelf := func(node catalog.NodeRecord) bool { return node.ID == a.self.ID }
	return !slices.ContainsFunc(nodes, isSelf) && slices.ContainsFunc(a.fleet.Nodes(), isSelf)
}

// usedShare returns the share of a leaf's limit that all nodes together use.
func (a *Allocator) usedShare(isNew bool) float64 {
	if isNew {
		return a.config.ShareAfterStart
	}
	return a.config.Share
}

// connectionsPerNode returns a node's equal share of a leaf's limit, which may be less than one connection. It is at
// least one if the limit has room for a connection of each node and the node is not new, even beyond the share in use.
func (a *Allocator) connectionsPerNode(nodes, limit int, isNew bool) float64 {
	nodes = max(1, nodes)
	perNode := a.usedShare(isNew) * float64(limit) / float64(nodes)
	if nodes < limit && !isNew {
		return max(1, perNode)
	}
	return perNode
}

// ownLeafs returns the indices of the leafs to which the node has one connection, if there is less than
// one for each node.
func (a *Allocator) ownLeafs(service string, by allocation, perNode float64) []int {
	count := min(max(1, int(perNode*float64(len(by.leafs)))), len(by.leafs))
	capacity := int(a.usedShare(by.isNew) * float64(by.limit))
	offset := xxhash.Sum64String(service)
	zones, rank := a.zones(by.nodes)
	quotas := allotQuotas(zones, by.leafs, count, capacity, int(offset%uint64(len(by.leafs))))
	nodes := zones[a.self.Zone]
	// The offset gives a node different ranks at different services.
	return quotas[a.self.Zone].leafsOf((rank+int(offset%uint64(nodes)))%nodes, nodes)
}

// zones returns the number of nodes of each zone, and this node's rank among those of its own. A
// node that others don't know yet counts itself in.
func (a *Allocator) zones(nodes []catalog.NodeRecord) (zones map[string]int, rank int) {
	zones = map[string]int{}
	isKnown := false
	for _, node := range nodes {
		zones[node.Zone]++
		switch {
		case node.ID == a.self.ID:
			isKnown = true
		case node.Zone == a.self.Zone && node.ID < a.self.ID:
			rank++
		}
	}
	if !isKnown {
		zones[a.self.Zone]++
	}
	return zones, rank
}

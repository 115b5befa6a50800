// Package connshare divides the connections that leafs accept among the nodes of a fleet.
//
// A leaf accepts a limited number of connections from all nodes together and resets any others. Each node gets an equal
// share. If that is less than one connection per leaf, each node uses only some of a service's leafs, preferring those
// of its own zone. Allotments assume that all nodes use theirs fully. Since that is rare, a node may open extra
// connections, and stops for a while when a leaf resets one (see package leafhttp).
//
// A leaf does not detect that a machine lost power: the connections of the machine's processes count until the leaf
// closes them as idle. A node that started recently therefore leaves room for the connections of its predecessor.
//
// Nodes compute their allotments without exchanging messages, from the fleet in package registry. The package caches
// the allotments, starts no goroutines, and returns no errors.
package connshare

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// maximumCached is the maximum number of cached allocations. When it is reached, the cache is cleared.
const maximumCached = 4096

// Fleet provides the nodes that share the leafs, sorted by ID. There are none while the fleet is unknown. Returned
// slices are never modified.
type Fleet interface {
	Nodes() []catalog.NodeRecord
	// Gatherers returns the nodes that send requests to the leafs of gathered services.
	Gatherers() []catalog.NodeRecord
}

// Allotment is a leaf with this node's share of its connections.
type Allotment struct {
	Leaf *leafset.Leaf
	// Connections is the number of connections allotted to the node; 0 if the leaf is allotted only to other nodes.
	Connections int
	// ExtraConnections is the number of connections that the node may open beyond its allotment while the leaf accepts
	// them. They use what other nodes or Config.Fraction leave unused.
	ExtraConnections int
	// LastResort says that the leaf is used only for requests that the node's own leafs can't take.
	LastResort bool
}

// Allocator computes the allotments of one node. It is safe for concurrent use.
type Allocator struct {
	cfg     Config
	fleet   Fleet
	self    catalog.NodeRecord
	now     func() time.Time
	started time.Time

	mu    sync.Mutex
	cache map[serviceKey]allocation
}

// serviceKey identifies a service and whether its requests are gathered. Leafs of different versions of a service are
// allotted separately; the version is that of the first leaf.
type serviceKey struct {
	name     string
	gathered bool
	version  string
}

// allocation is the allotments of a service's leafs and the inputs from which they were computed.
type allocation struct {
	nodes      []catalog.NodeRecord
	leafs      []*leafset.Leaf
	limit      int // connections per leaf; 0 or less means no limit
	isNew      bool
	allotments []Allotment
}

// hasSameInputs reports whether two allocations have the same inputs. Nodes and leafs are compared by slice identity.
func (a allocation) hasSameInputs(other allocation) bool {
	return leafset.SameSlice(a.nodes, other.nodes) && leafset.SameSlice(a.leafs, other.leafs) && a.limit == other.limit && a.isNew == other.isNew
}

// New returns the allocator of a node that is starting.
func New(cfg Config, fleet Fleet, self catalog.NodeRecord) *Allocator {
	return &Allocator{cfg: cfg, fleet: fleet, self: self, now: time.Now, started: time.Now(), cache: map[serviceKey]allocation{}}
}

// Allot returns the leafs of a service with this node's allotments. The limit is the number of connections that each
// leaf accepts, or 0 if it is unlimited. Leafs of gathered services are shared by the nodes that gather; other nodes
// may open only extra connections to them. The slice is shared: callers must not modify it.
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
	if known, found := a.cache[service]; found && known.hasSameInputs(wanted) {
		return known.allotments
	}
	if len(a.cache) >= maximumCached {
		clear(a.cache)
	}
	wanted.allotments = a.allot(name, wanted)
	a.cache[service] = wanted
	return wanted.allotments
}

// allot computes how many connections this node may have to each leaf of a service: Config.Unlimited without a limit,
// otherwise an equal share of the used fraction of the limit (see connectionsPerNode). If the share is below one, the
// node gets one connection to each of its own leafs (see ownLeafs) and only extra connections to the others, which a
// new node uses only as a last resort. A node that is not among those that share the leafs gets only extra connections.
func (a *Allocator) allot(service string, inputs allocation) []Allotment {
	allotments := make([]Allotment, len(inputs.leafs))
	for index, leaf := range inputs.leafs {
		allotments[index] = Allotment{Leaf: leaf, Connections: a.cfg.Unlimited}
	}
	if inputs.limit <= 0 {
		return allotments
	}
	perNode := a.connectionsPerNode(len(inputs.nodes), inputs.limit, inputs.isNew)
	isExcluded := a.isExcluded(inputs.nodes)
	if perNode >= 1 && !isExcluded {
		for index := range allotments {
			allotments[index].Connections = min(int(perNode), a.cfg.Unlimited)
			allotments[index].ExtraConnections = a.extra(inputs.isNew)
		}
		return allotments
	}
	for index := range allotments {
		allotments[index].Connections, allotments[index].ExtraConnections = 0, a.cfg.Extra
		allotments[index].LastResort = inputs.isNew
	}
	if isExcluded {
		return allotments
	}
	for _, index := range a.ownLeafs(service, inputs, perNode) {
		own := &allotments[index]
		own.Connections, own.ExtraConnections, own.LastResort = 1, a.extra(inputs.isNew), false
	}
	return allotments
}

// extra returns how many connections to an own leaf may be opened beyond the allotment. A new node may open none, since
// connections that seem unused may be those of a crashed process.
func (a *Allocator) extra(isNew bool) int {
	if isNew {
		return 0
	}
	return a.cfg.Extra
}

// isNew reports whether the node started less than Config.StartSpan ago.
func (a *Allocator) isNew() bool { return a.now().Sub(a.started) < a.cfg.StartSpan }

// isExcluded reports whether the node belongs to the fleet but not to the nodes that share the leafs.
func (a *Allocator) isExcluded(nodes []catalog.NodeRecord) bool {
	isSelf := func(node catalog.NodeRecord) bool { return node.ID == a.self.ID }
	return !slices.ContainsFunc(nodes, isSelf) && slices.ContainsFunc(a.fleet.Nodes(), isSelf)
}

// usedFraction returns the fraction of a leaf's limit that all nodes together use.
func (a *Allocator) usedFraction(isNew bool) float64 {
	if isNew {
		return a.cfg.FractionAfterStart
	}
	return a.cfg.Fraction
}

// connectionsPerNode returns a node's equal share of a leaf's limit, which may be less than one connection. If the
// limit has room for a connection of each node and the node is not new, the share is at least one, even if that exceeds
// the used fraction.
func (a *Allocator) connectionsPerNode(nodes, limit int, isNew bool) float64 {
	nodes = max(1, nodes)
	perNode := a.usedFraction(isNew) * float64(limit) / float64(nodes)
	if nodes < limit && !isNew {
		return max(1, perNode)
	}
	return perNode
}

// ownLeafs returns the indices of the leafs to which the node gets one connection if its share is less than one.
func (a *Allocator) ownLeafs(service string, inputs allocation, perNode float64) []int {
	count := min(max(1, int(perNode*float64(len(inputs.leafs)))), len(inputs.leafs))
	capacity := int(a.usedFraction(inputs.isNew) * float64(inputs.limit))
	offset := xxhash.Sum64String(service)
	zones, rank := a.zones(inputs.nodes)
	quotas := allotQuotas(zones, inputs.leafs, count, capacity, int(offset%uint64(len(inputs.leafs))))
	nodes := zones[a.self.Zone]
	// The offset gives a node different ranks for different services.
	return quotas[a.self.Zone].leafsOf((rank+int(offset%uint64(nodes)))%nodes, nodes)
}

// zones returns the number of nodes in each zone and this node's rank among the nodes of its zone. A node that is not
// yet registered counts itself.
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

package registry

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// gatherersShare is the part of a bound on the leafs of gathered services that the gatherers have together; the
// other nodes have the rest, for when the gatherers fail them.
const gatherersShare = 0.8

// Fleet knows the nodes of the fleet. A node that is gone still counts for a while, since its share of common
// bounds is not free at once. It is safe for concurrent use.
type Fleet struct {
	catalog *catalog.Catalog
	memory  time.Duration
	self    string
	now     func() time.Time

	mu    sync.Mutex
	view  *catalog.View        // the view that nodes was computed from
	gone  map[string]time.Time // until when nodes that are gone still count, by id
	nodes []catalog.NodeRecord // sorted by id
	// gatherers are the nodes of nodes that gather, see Gatherers.
	gatherers []catalog.NodeRecord
	// isGatherer says whether this node gathers.
	isGatherer bool
	// until is when the first of gone no longer counts; zero if there is none.
	until time.Time
}

// NewFleet returns a Fleet for the node of an id; nodes that are gone still count for the time of memory.
func NewFleet(known *catalog.Catalog, self string, memory time.Duration) *Fleet {
	return &Fleet{catalog: known, memory: memory, self: self, now: time.Now, gone: map[string]time.Time{}}
}

// SetClock sets the clock by which nodes that are gone still count. It must be called before the Fleet is used.
func (c *Fleet) SetClock(clock boottime.Clock) { c.now = clock.Now }

// Nodes returns the nodes that are registered or were a moment ago, sorted by id. The slice is shared and never
// changed: callers must not change it either.
func (c *Fleet) Nodes() []catalog.NodeRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.nodes
}

// Gatherers returns the nodes that gather for the others of their zones, see the function Gatherers. The slice
// is shared and never changed.
func (c *Fleet) Gatherers() []catalog.NodeRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.gatherers
}

// IsGatherer reports whether this node gathers for others.
func (c *Fleet) IsGatherer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.isGatherer
}

// IsRegistered reports whether this node is registered, as far as it knows itself.
func (c *Fleet) IsRegistered() bool {
	_, registered := c.catalog.View().Nodes[c.self]
	return registered
}

// refresh updates the nodes from the configuration in force. The lock must be held.
func (c *Fleet) refresh() {
	view := c.catalog.View()
	now := c.now()
	if view == c.view && (c.until.IsZero() || now.Before(c.until)) {
		return
	}
	nodes := c.current(view, now)
	c.view = view
	if !slices.Equal(nodes, c.nodes) {
		c.nodes = nodes
	}
	// Callers compare the slice to find out whether the gatherers changed, so it is replaced only if they did.
	if gatherers := Gatherers(nodes); !slices.Equal(gatherers, c.gatherers) {
		c.gatherers = gatherers
		c.isGatherer = slices.ContainsFunc(c.gatherers, func(node catalog.NodeRecord) bool { return node.ID == c.self })
	}
}

// current returns the nodes that count, and sets until when that is valid. The lock must be held.
func (c *Fleet) current(view *catalog.View, now time.Time) []catalog.NodeRecord {
	nodes := make([]catalog.NodeRecord, 0, len(view.Nodes))
	c.until = time.Time{}
	for _, node := range c.nodes {
		if _, registered := view.Nodes[node.ID]; registered {
			continue
		}
		if c.gone[node.ID].IsZero() {
			c.gone[node.ID] = now.Add(c.memory)
		}
		until := c.gone[node.ID]
		if !now.Before(until) {
			delete(c.gone, node.ID)
			continue
		}
		nodes = append(nodes, node)
		if c.until.IsZero() || until.Before(c.until) {
			c.until = until
		}
	}
	for id, node := range view.Nodes {
		delete(c.gone, id)
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b catalog.NodeRecord) int { return strings.Compare(a.ID, b.ID) })
	return nodes
}

// Others returns the peer addresses of up to n random registered nodes other than this one.
func (c *Fleet) Others(n int) []string {
	nodes := c.Nodes()
	view := c.catalog.View()
	addresses := make([]string, 0, n)
	for _, index := range rand.Perm(len(nodes)) {
		if len(addresses) >= n {
			break
		}
		if node, registered := view.Nodes[nodes[index].ID]; registered && node.ID != c.self {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// Share returns this node's share, between 0 and 1, of a bound that all nodes share; 0 unless it is registered.
// Of bounds on gathered services, the gatherers have most.
func (c *Fleet) Share(gathered bool) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	if !c.IsRegistered() {
		return 0
	}
	others := len(c.nodes) - len(c.gatherers)
	switch {
	case !gathered || others == 0:
		return 1 / float64(len(c.nodes))
	case c.isGatherer:
		return gatherersShare / float64(len(c.gatherers))
	default:
		return (1 - gatherersShare) / float64(others)
	}
}

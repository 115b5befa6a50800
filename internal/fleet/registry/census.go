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

// Census knows the nodes of the fleet. A node that went still counts for a while, since what it
// used up is not free at once. It is safe for concurrent use.
type Census struct {
	catalog *catalog.Catalog
	memory  time.Duration
	self    string
	now     func() time.Time

	mu    sync.Mutex
	view  *catalog.View // the last one looked at
	gone  map[string]time.Time
	nodes []catalog.NodeRecord // sorted by id
	// gatherers are of nodes.
	gatherers []catalog.NodeRecord
	// isGatherer says whether this node is one of them.
	isGatherer bool
	until      time.Time
}

// NewCensus returns a census for the node of an id.
func NewCensus(known *catalog.Catalog, self string, memory time.Duration) *Census {
	return &Census{catalog: known, memory: memory, self: self, now: time.Now, gone: map[string]time.Time{}}
}

// SetClock has the time for which nodes that went still count measured by a clock. It must be called before the census is
// used.
func (c *Census) SetClock(clock boottime.Clock) { c.now = clock.Now }

// Nodes returns the nodes that are registered or were a moment ago, sorted by id. The slice is shared
// and never changed: callers must not change it either.
func (c *Census) Nodes() []catalog.NodeRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.nodes
}

// Gatherers returns those of the nodes that gather for the others of their zones, see Gatherers. The
// slice is shared and never changed.
func (c *Census) Gatherers() []catalog.NodeRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.gatherers
}

// IsGatherer reports whether this node is one of those that gather for others.
func (c *Census) IsGatherer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.isGatherer
}

// IsRegistered reports whether the others know of this node, as far as it knows itself.
func (c *Census) IsRegistered() bool {
	_, registered := c.catalog.View().Nodes[c.self]
	return registered
}

// refresh looks at the configuration in force. The lock must be held.
func (c *Census) refresh() {
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
	// What is dealt by the gatherers holds as long as their slice is the same.
	if gatherers := Gatherers(nodes); !slices.Equal(gatherers, c.gatherers) {
		c.gatherers = gatherers
		c.isGatherer = slices.ContainsFunc(c.gatherers, func(node catalog.NodeRecord) bool { return node.ID == c.self })
	}
}

// current finds the nodes that count, and until when that holds. The lock must be held.
func (c *Census) current(view *catalog.View, now time.Time) []catalog.NodeRecord {
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

// Others returns the peer addresses of up to n random nodes that are registered, this one left out.
func (c *Census) Others(n int) []string {
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

// gatherersPart is the part of a bound on the leafs of gathered services that the nodes which gather
// have; the others have the rest, for when those fail them.
const gatherersPart = 0.8

// Part returns this node's part of a bound that all nodes share, 0 unless it is one of those that the
// others know of. Of bounds on gathered services, the nodes that gather have the most.
func (c *Census) Part(gathered bool) float64 {
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
		return gatherersPart / float64(len(c.gatherers))
	default:
		return (1 - gatherersPart) / float64(others)
	}
}

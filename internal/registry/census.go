package registry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/catalog"
)

// Census knows the nodes of the fleet. A node that went still counts for a while, since what it
// used up is not free at once. It is safe for concurrent use.
type Census struct {
	catalog *catalog.Catalog
	memory  time.Duration
	self    string
	now     func() time.Time

	mutex sync.Mutex
	view  *catalog.View // the last one looked at
	gone  map[string]time.Time
	ids   []string // sorted
	until time.Time
}

// NewCensus makes a census for the node of an id.
func NewCensus(known *catalog.Catalog, self string, memory time.Duration) *Census {
	return &Census{catalog: known, memory: memory, self: self, now: time.Now, gone: map[string]time.Time{}}
}

// IDs gives the ids of the nodes that are registered or were a moment ago, sorted. The slice is
// shared: callers must not change it.
func (c *Census) IDs() []string {
	view := c.catalog.View()
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if view == c.view && (c.until.IsZero() || now.Before(c.until)) {
		return c.ids
	}
	for _, id := range c.ids {
		if _, registered := view.Nodes[id]; !registered && c.gone[id].IsZero() {
			c.gone[id] = now.Add(c.memory)
		}
	}
	c.view, c.ids, c.until = view, nil, time.Time{}
	for id := range view.Nodes {
		delete(c.gone, id)
		c.ids = append(c.ids, id)
	}
	for id, until := range c.gone {
		if !now.Before(until) {
			delete(c.gone, id)
			continue
		}
		c.ids = append(c.ids, id)
		if c.until.IsZero() || until.Before(c.until) {
			c.until = until
		}
	}
	slices.Sort(c.ids)
	return c.ids
}

// Others gives the peer addresses of up to n random nodes that are registered, this one left out.
func (c *Census) Others(n int) []string {
	ids := c.IDs()
	view := c.catalog.View()
	addresses := make([]string, 0, n)
	for _, index := range rand.Perm(len(ids)) {
		if len(addresses) >= n {
			break
		}
		if node, registered := view.Nodes[ids[index]]; registered && ids[index] != c.self {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// Sharing gives the number of nodes that share a bound, 0 unless this node is one of those
// that the others know of.
func (c *Census) Sharing() int {
	ids := c.IDs()
	if _, registered := c.catalog.View().Nodes[c.self]; !registered {
		return 0
	}
	return len(ids)
}

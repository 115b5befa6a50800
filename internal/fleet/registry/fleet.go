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

// gatherersShare is the gatherers' total share of a bound on the leafs of gathered services. The other nodes have the
// rest, which they need when the gatherers are unavailable.
const gatherersShare = 0.8

// Fleet tracks the registered nodes. A node that is no longer registered still counts for the retention time, since it
// may continue to use its share of common bounds. A Fleet is safe for concurrent use.
type Fleet struct {
	catalog   *catalog.Catalog
	retention time.Duration
	self      string
	now       func() time.Time

	mu    sync.Mutex
	view  *catalog.View        // the view that nodes was computed from
	gone  map[string]time.Time // by ID, when a node that is no longer registered stops counting
	nodes []catalog.NodeRecord // sorted by ID
	// gatherers holds the elements of nodes that gather, see Gatherers.
	gatherers  []catalog.NodeRecord
	isGatherer bool // whether this node is one of gatherers
	// nextExpiry is the earliest time in gone; zero if gone is empty.
	nextExpiry time.Time
}

// NewFleet returns the Fleet of the node with the ID self.
func NewFleet(cat *catalog.Catalog, self string, retention time.Duration) *Fleet {
	return &Fleet{catalog: cat, retention: retention, self: self, now: time.Now, gone: map[string]time.Time{}}
}

// SetClock sets the clock that measures the retention time. It must be called before the Fleet is used.
func (f *Fleet) SetClock(clock boottime.Clock) { f.now = clock.Now }

// Nodes returns the nodes that are registered or were within the retention time, sorted by ID. The slice is shared and
// never modified; callers must not modify it either.
func (f *Fleet) Nodes() []catalog.NodeRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.nodes
}

// Gatherers returns the nodes that gather for the others of their zones, see the function Gatherers. The slice is shared
// and never modified; callers must not modify it either.
func (f *Fleet) Gatherers() []catalog.NodeRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.gatherers
}

// IsGatherer reports whether this node gathers for others.
func (f *Fleet) IsGatherer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.isGatherer
}

// IsRegistered reports whether this node is registered in the configuration that it has in force.
func (f *Fleet) IsRegistered() bool {
	_, registered := f.catalog.View().Nodes[f.self]
	return registered
}

// refresh updates the nodes from the configuration in force. f.mu must be held.
func (f *Fleet) refresh() {
	view := f.catalog.View()
	now := f.now()
	if view == f.view && (f.nextExpiry.IsZero() || now.Before(f.nextExpiry)) {
		return
	}
	nodes := f.current(view, now)
	f.view = view
	if !slices.Equal(nodes, f.nodes) {
		f.nodes = nodes
	}
	// Callers compare slices to detect a change of the gatherers, so the slice is replaced only on a change.
	if gatherers := Gatherers(nodes); !slices.Equal(gatherers, f.gatherers) {
		f.gatherers = gatherers
		f.isGatherer = slices.ContainsFunc(f.gatherers, func(node catalog.NodeRecord) bool { return node.ID == f.self })
	}
}

// current returns the nodes that count, and sets nextExpiry. f.mu must be held.
func (f *Fleet) current(view *catalog.View, now time.Time) []catalog.NodeRecord {
	nodes := make([]catalog.NodeRecord, 0, len(view.Nodes))
	f.nextExpiry = time.Time{}
	for _, node := range f.nodes {
		if _, registered := view.Nodes[node.ID]; registered {
			continue
		}
		if f.gone[node.ID].IsZero() {
			f.gone[node.ID] = now.Add(f.retention)
		}
		until := f.gone[node.ID]
		if !now.Before(until) {
			delete(f.gone, node.ID)
			continue
		}
		nodes = append(nodes, node)
		if f.nextExpiry.IsZero() || until.Before(f.nextExpiry) {
			f.nextExpiry = until
		}
	}
	for id, node := range view.Nodes {
		delete(f.gone, id)
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b catalog.NodeRecord) int { return strings.Compare(a.ID, b.ID) })
	return nodes
}

// Others returns the peer addresses of up to n registered nodes other than this one, chosen at random.
func (f *Fleet) Others(n int) []string {
	nodes := f.Nodes()
	view := f.catalog.View()
	addresses := make([]string, 0, n)
	for _, index := range rand.Perm(len(nodes)) {
		if len(addresses) >= n {
			break
		}
		if node, registered := view.Nodes[nodes[index].ID]; registered && node.ID != f.self {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// Share returns this node's share, between 0 and 1, of a bound that is common to all nodes; 0 if the node is not
// registered. If gathered is true, the bound is on a gathered service, and the gatherers have most of it.
func (f *Fleet) Share(gathered bool) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	if !f.IsRegistered() {
		return 0
	}
	others := len(f.nodes) - len(f.gatherers)
	switch {
	case !gathered || others == 0:
		return 1 / float64(len(f.nodes))
	case f.isGatherer:
		return gatherersShare / float64(len(f.gatherers))
	default:
		return (1 - gatherersShare) / float64(others)
	}
}

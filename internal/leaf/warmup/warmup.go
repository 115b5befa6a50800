// Package warmup bounds what cold leafs are sent.
//
// A leaf that started a short while ago, or whose caches went cold, bears only so many requests a second
// from all nodes together, and breaks above that. The bound holds without any message: for each cold leaf
// a few nodes, the same for all that know the same fleet, have an equal share of the rate. The others leave
// the leaf alone until it is warm, and ask its siblings.
package warmup

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Fleet gives the nodes that may ask leafs; registry.Census is the real one.
type Fleet interface {
	// Nodes are all nodes of the fleet, Gatherers those that ask the leafs of gathered services. A slice is
	// never changed once it was given.
	Nodes() []catalog.NodeRecord
	Gatherers() []catalog.NodeRecord
	// IsRegistered reports whether the other nodes know of this one.
	IsRegistered() bool
}

// Limiter gives one node its share of the rates of cold leafs; safe for concurrent use.
type Limiter struct {
	config  Config
	catalog *catalog.Catalog
	fleet   Fleet
	self    catalog.NodeRecord
	now     func() time.Time

	mu    sync.Mutex
	leafs map[string]*bucket // by id; the cold ones that were asked about
}

// bucket is this node's share of one cold leaf: tokens come at a rate, and one is kept at most.
type bucket struct {
	// nodes are the fleet that the rate is by.
	nodes     []catalog.NodeRecord
	perSecond float64 // 0 where the node is not one of those that ask the leaf
	tokens    float64
	at        time.Time
}

// New makes the limiter of a node.
func New(config Config, known *catalog.Catalog, fleet Fleet, self catalog.NodeRecord) *Limiter {
	return &Limiter{config: config, catalog: known, fleet: fleet, self: self, now: time.Now, leafs: map[string]*bucket{}}
}

// SetClock has the time for which leafs are cold measured by a clock, which must be that of the catalog. It must be called
// before the limiter is used.
func (l *Limiter) SetClock(clock boottime.Clock) { l.now = clock.Now }

// HasToken reports whether this node may ask a leaf now, without taking that request from its share.
func (l *Limiter) HasToken(leaf *leafset.Leaf) bool {
	perSecond := l.limitOf(leaf)
	if perSecond == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refill(leaf, perSecond).tokens >= 1
}

// Take takes a request to the leaf of an id from this node's share, right before it is sent. It reports
// whether the request may be sent.
func (l *Limiter) Take(id string) bool {
	leaf, found := l.catalog.View().Leafs.ByID(id)
	if !found {
		return true // what is only remembered started long ago
	}
	perSecond := l.limitOf(leaf)
	if perSecond == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.refill(leaf, perSecond)
	if share.tokens < 1 {
		return false
	}
	share.tokens--
	return true
}

// limitOf gives the requests a second that a leaf bears now; 0 means that there is no limit.
func (l *Limiter) limitOf(leaf *leafset.Leaf) float64 {
	// Nearly all leafs are warm: the clock is read only for the others.
	if leaf.ColdUntil.IsZero() || !leaf.ColdUntil.After(l.now()) {
		return 0
	}
	routes := l.catalog.View().Routes
	if routes == nil {
		return 0
	}
	service, _ := routes.Service(leaf.Service)
	return service.ColdRequestsPerSecond
}

// mostKept bounds the cold leafs whose shares are kept; beyond it those that are warm are dropped.
const mostKept = 1024

// refill gives the node's share of a leaf as it stands now. The lock must be held.
func (l *Limiter) refill(leaf *leafset.Leaf, perSecond float64) *bucket {
	now := l.now()
	share, found := l.leafs[leaf.ID]
	if !found {
		l.dropWarm()
		share = &bucket{at: now}
		l.leafs[leaf.ID] = share
	}
	gathered := l.isGathered(leaf.Service)
	nodes := l.fleet.Nodes()
	if gathered {
		nodes = l.fleet.Gatherers()
	}
	if !found || !leafset.SameSlice(nodes, share.nodes) {
		share.nodes = nodes
		share.perSecond = l.shareOf(leaf, nodes, l.config.divide(perSecond, gathered))
	}
	if !l.fleet.IsRegistered() || share.perSecond == 0 {
		share.tokens, share.at = 0, now
		return share
	}
	share.tokens = min(1, share.tokens+share.perSecond*now.Sub(share.at).Seconds())
	share.at = now
	return share
}

// dropWarm drops the shares of leafs that are warm or gone, once there are many. The lock must be held.
func (l *Limiter) dropWarm() {
	if len(l.leafs) < mostKept {
		return
	}
	leafs := l.catalog.View().Leafs
	for id := range l.leafs {
		if leaf, found := leafs.ByID(id); !found || !leaf.ColdUntil.After(l.now()) {
			delete(l.leafs, id)
		}
	}
}

// isGathered reports whether a service is asked by the nodes that gather.
func (l *Limiter) isGathered(service string) bool {
	routes := l.catalog.View().Routes
	return routes != nil && routes.IsGathered(service)
}

// shareOf gives this node's rate at a leaf: that of a sender, or 0.
func (l *Limiter) shareOf(leaf *leafset.Leaf, nodes []catalog.NodeRecord, divided shares) float64 {
	own := place(l.self, leaf)
	ahead := 0
	for _, node := range nodes {
		if node.ID != l.self.ID && place(node, leaf).isBefore(own) {
			ahead++
		}
	}
	if ahead >= divided.senders {
		return 0
	}
	return divided.perSecond
}

// rank orders the nodes that may ask a leaf: those of its zone come first, then a hash decides.
type rank struct {
	elsewhere bool
	hash      uint64
}

func place(node catalog.NodeRecord, leaf *leafset.Leaf) rank {
	return rank{elsewhere: node.Zone != leaf.Zone, hash: xxhash.Sum64String(leaf.Name + "\x00" + node.ID)}
}

func (r rank) isBefore(other rank) bool {
	if r.elsewhere != other.elsewhere {
		return !r.elsewhere
	}
	return r.hash < other.hash
}

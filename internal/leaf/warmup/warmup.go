// Package warmup limits the rate of requests to cold leafs.
//
// A leaf that started a short while ago, or whose caches went cold, can take only a limited number of requests a second
// from all nodes together, and fails above that. The limit needs no messages: for each cold leaf
// a few nodes, the same on all nodes with the same view of the fleet, have an equal share of the rate. The others
// don't ask the leaf until it is warm, and ask its siblings.
//
// The package owns a token bucket for each cold leaf. It relies on the catalog for leafs and their services, on package
// registry for the fleet, and on the catalog's clock. It starts no goroutines and returns no errors.
package warmup

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Fleet returns the nodes that may ask leafs; registry.Fleet implements it.
type Fleet interface {
	// Nodes are all nodes of the fleet, Gatherers those that ask the leafs of gathered services. A slice is
	// never modified once it was returned.
	Nodes() []catalog.NodeRecord
	Gatherers() []catalog.NodeRecord
	// IsRegistered reports whether the other nodes know this one.
	IsRegistered() bool
}

// Limiter limits one node's requests to cold leafs to its share of their rates; safe for concurrent use.
type Limiter struct {
	config  Config
	catalog *catalog.Catalog
	fleet   Fleet
	self    catalog.NodeRecord
	now     func() time.Time

	mu    sync.Mutex
	leafs map[string]*bucket // of cold leafs, by id
}

// bucket is the token bucket of one cold leaf. It holds at most one token.
type bucket struct {
	// nodes are the fleet from which the rate was computed.
	nodes     []catalog.NodeRecord
	perSecond float64 // 0 if the node is not one of those that ask the leaf
	tokens    float64
	at        time.Time // of the last refill
}

// New returns the limiter of a node.
func New(config Config, known *catalog.Catalog, fleet Fleet, self catalog.NodeRecord) *Limiter {
	return &Limiter{config: config, catalog: known, fleet: fleet, self: self, now: time.Now, leafs: map[string]*bucket{}}
}

// SetClock sets the clock by which leafs are cold, which must be that of the catalog. It must be called
// before the limiter is used.
func (l *Limiter) SetClock(clock boottime.Clock) { l.now = clock.Now }

// HasToken reports whether this node may ask a leaf now, without taking a token.
func (l *Limiter) HasToken(leaf *leafset.Leaf) bool {
	perSecond := l.limitOf(leaf)
	if perSecond == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refill(leaf, perSecond).tokens >= 1
}

// Take takes a token for a request to the leaf of an id, right before it is sent. It reports
// whether the request may be sent.
func (l *Limiter) Take(id string) bool {
	leaf, found := l.catalog.View().Leafs.ByID(id)
	if !found {
		return true // a leaf that discovery lost started long ago, so that it is warm
	}
	perSecond := l.limitOf(leaf)
	if perSecond == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.refill(leaf, perSecond)
	if kept.tokens < 1 {
		return false
	}
	kept.tokens--
	return true
}

// limitOf returns the rate in requests a second that a leaf can take now; 0 means that there is no limit.
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

// maximumKept is the number of buckets at which those of warm leafs are dropped.
const maximumKept = 1024

// refill returns the node's bucket of a leaf, refilled. The lock must be held.
func (l *Limiter) refill(leaf *leafset.Leaf, perSecond float64) *bucket {
	now := l.now()
	kept, found := l.leafs[leaf.ID]
	if !found {
		l.dropWarm()
		kept = &bucket{at: now}
		l.leafs[leaf.ID] = kept
	}
	gathered := l.isGathered(leaf.Service)
	nodes := l.fleet.Nodes()
	if gathered {
		nodes = l.fleet.Gatherers()
	}
	if !found || !leafset.SameSlice(nodes, kept.nodes) {
		kept.nodes = nodes
		kept.perSecond = l.rateOf(leaf, nodes, l.config.divide(perSecond, gathered))
	}
	if !l.fleet.IsRegistered() || kept.perSecond == 0 {
		kept.tokens, kept.at = 0, now
		return kept
	}
	kept.tokens = min(1, kept.tokens+kept.perSecond*now.Sub(kept.at).Seconds())
	kept.at = now
	return kept
}

// dropWarm drops the buckets of leafs that are warm or gone, once there are many. The lock must be held.
func (l *Limiter) dropWarm() {
	if len(l.leafs) < maximumKept {
		return
	}
	leafs := l.catalog.View().Leafs
	for id := range l.leafs {
		if leaf, found := leafs.ByID(id); !found || !leaf.ColdUntil.After(l.now()) {
			delete(l.leafs, id)
		}
	}
}

// isGathered reports whether a service is asked by the nodes that gather only.
func (l *Limiter) isGathered(service string) bool {
	routes := l.catalog.View().Routes
	return routes != nil && routes.IsGathered(service)
}

// rateOf decides whether this node is one of a cold leaf's senders, and returns its rate in requests a second; 0 if it
// is not. The senders are the first nodes by their rank at the leaf, so that all nodes choose the same.
func (l *Limiter) rateOf(leaf *leafset.Leaf, nodes []catalog.NodeRecord, divided division) float64 {
	own := rankOf(l.self, leaf)
	ahead := 0
	for _, node := range nodes {
		if node.ID != l.self.ID && rankOf(node, leaf).isBefore(own) {
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

// rankOf returns the rank of a node at a leaf.
func rankOf(node catalog.NodeRecord, leaf *leafset.Leaf) rank {
	return rank{elsewhere: node.Zone != leaf.Zone, hash: xxhash.Sum64String(leaf.Name + "\x00" + node.ID)}
}

func (r rank) isBefore(other rank) bool {
	if r.elsewhere != other.elsewhere {
		return !r.elsewhere
	}
	return r.hash < other.hash
}

// Package warmup limits the rate of requests to cold leafs.
//
// A leaf that started recently, or whose caches are cold, can take only a limited number of requests per second from
// all nodes together, and fails above that. The limit requires no messages: all nodes with the same view of the fleet
// select the same few senders for each cold leaf, which get equal shares of the rate. The other nodes send their
// requests to other replicas until the leaf is warm.
//
// The package owns a token bucket for each cold leaf. It uses the catalog for leafs and their services, package
// registry for the fleet, and the catalog's clock. It starts no goroutines and returns no errors.
package warmup

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Fleet provides the nodes that may send requests to leafs. It is implemented by registry.Fleet.
type Fleet interface {
	// Nodes returns all nodes of the fleet, and Gatherers the nodes that send requests to the leafs of gathered
	// services. Returned slices are never modified.
	Nodes() []catalog.NodeRecord
	Gatherers() []catalog.NodeRecord
	// IsRegistered reports whether this node is registered with the other nodes.
	IsRegistered() bool
}

// Limiter limits a node's requests to cold leafs to the node's share of their rates. It is safe for concurrent use.
type Limiter struct {
	cfg     Config
	catalog *catalog.Catalog
	fleet   Fleet
	self    catalog.NodeRecord
	now     func() time.Time

	mu      sync.Mutex
	buckets map[string]*tokenBucket // of cold leafs, by ID
}

// tokenBucket is the token bucket of one cold leaf. It holds at most one token.
type tokenBucket struct {
	// nodes are the nodes from which the rate was computed.
	nodes     []catalog.NodeRecord
	perSecond float64 // 0 if the node is not a sender of the leaf
	tokens    float64
	at        time.Time // of the last refill
}

func New(cfg Config, cat *catalog.Catalog, fleet Fleet, self catalog.NodeRecord) *Limiter {
	return &Limiter{cfg: cfg, catalog: cat, fleet: fleet, self: self, now: time.Now, buckets: map[string]*tokenBucket{}}
}

// SetClock sets the clock that determines whether leafs are cold, which must be the catalog's clock. It must be called
// before the limiter is used.
func (l *Limiter) SetClock(clock boottime.Clock) { l.now = clock.Now }

// HasToken reports whether this node may send a request to a leaf now. It takes no token.
func (l *Limiter) HasToken(leaf *leafset.Leaf) bool {
	perSecond := l.rateLimit(leaf)
	if perSecond == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refill(leaf, perSecond).tokens >= 1
}

// Take takes a token for a request to the leaf with the given ID and reports whether the request may be sent. It must
// be called right before the request is sent.
func (l *Limiter) Take(id string) bool {
	leaf, found := l.catalog.View().Leafs.ByID(id)
	if !found {
		return true // leafs that are not in discovery are not limited: most were lost long after they started
	}
	perSecond := l.rateLimit(leaf)
	if perSecond == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.refill(leaf, perSecond)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// rateLimit returns the cold rate of the leaf's service in requests per second. It returns 0 if the leaf is not
// limited: it is warm, or its service has no cold rate.
func (l *Limiter) rateLimit(leaf *leafset.Leaf) float64 {
	// The clock is read only for leafs that may be cold, since nearly all leafs are warm.
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

// maximumBuckets is the number of buckets at which the buckets of warm leafs are dropped.
const maximumBuckets = 1024

// refill adds the tokens due to the bucket of a leaf and returns the bucket. l.mu must be held.
func (l *Limiter) refill(leaf *leafset.Leaf, perSecond float64) *tokenBucket {
	now := l.now()
	bucket, found := l.buckets[leaf.ID]
	if !found {
		l.dropWarm()
		bucket = &tokenBucket{at: now}
		l.buckets[leaf.ID] = bucket
	}
	gathered := l.isGathered(leaf.Service)
	nodes := l.fleet.Nodes()
	if gathered {
		nodes = l.fleet.Gatherers()
	}
	if !found || !leafset.SameSlice(nodes, bucket.nodes) {
		bucket.nodes = nodes
		bucket.perSecond = l.ownRate(leaf, nodes, l.cfg.divide(perSecond, gathered))
	}
	if !l.fleet.IsRegistered() || bucket.perSecond == 0 {
		bucket.tokens, bucket.at = 0, now
		return bucket
	}
	bucket.tokens = min(1, bucket.tokens+bucket.perSecond*now.Sub(bucket.at).Seconds())
	bucket.at = now
	return bucket
}

// dropWarm drops the buckets of warm and removed leafs if there are maximumBuckets. l.mu must be held.
func (l *Limiter) dropWarm() {
	if len(l.buckets) < maximumBuckets {
		return
	}
	leafs := l.catalog.View().Leafs
	for id := range l.buckets {
		if leaf, found := leafs.ByID(id); !found || !leaf.ColdUntil.After(l.now()) {
			delete(l.buckets, id)
		}
	}
}

// isGathered reports whether only gathering nodes send requests to a service.
func (l *Limiter) isGathered(service string) bool {
	routes := l.catalog.View().Routes
	return routes != nil && routes.IsGathered(service)
}

// ownRate returns this node's rate for a cold leaf in requests per second, or 0 if the node is not one of the senders.
// The senders are the first nodes by rank, so that all nodes select the same ones.
func (l *Limiter) ownRate(leaf *leafset.Leaf, nodes []catalog.NodeRecord, d division) float64 {
	own := rankOf(l.self, leaf)
	ahead := 0
	for _, node := range nodes {
		if node.ID != l.self.ID && rankOf(node, leaf).isBefore(own) {
			ahead++
		}
	}
	if ahead >= d.senders {
		return 0
	}
	return d.perSecond
}

// rank orders the nodes that may send requests to a leaf: nodes of its zone come first, then nodes are ordered by hash.
type rank struct {
	otherZone bool
	hash      uint64
}

func rankOf(node catalog.NodeRecord, leaf *leafset.Leaf) rank {
	return rank{otherZone: node.Zone != leaf.Zone, hash: xxhash.Sum64String(leaf.Name + "\x00" + node.ID)}
}

func (r rank) isBefore(other rank) bool {
	if r.otherZone != other.otherZone {
		return !r.otherZone
	}
	return r.hash < other.hash
}

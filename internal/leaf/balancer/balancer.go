// Package balancer chooses which replica of a shard to ask.
//
// The choice is the better of two random usable replicas, by the node's own attempts in
// flight times the latency it has seen, and, for a short while, the load the leaf reported.
// What replies show outweighs what is said: a leaf that claims to be idle but answers slowly
// loses. Failing leafs are ejected, never the last replica of a shard, and come back through
// one trial attempt at a time.
package balancer

import (
	"sync"
	"time"
)

// Balancer knows the leafs this node has used. It is safe for concurrent use.
type Balancer struct {
	config Config
	zone   string
	now    func() time.Time
	// onDraining is told of a leaf that said itself that it is leaving.
	onDraining func(leafID string)
	// onEjected is told of a leaf that is ejected, or that is back.
	onEjected func(leafID string, ejected bool)

	// onObserved is told of what other nodes should know of a leaf.
	onObserved func(Observation)
	// onBelief is told of changes of what this node believes of a leaf.
	onBelief func(Assessment)

	mu      sync.RWMutex
	leafs   map[string]*Leaf
	keys    map[LeafKey]*Leaf
	leaving map[string]time.Time // until when, by the machine list's or a peer's word
}

// New makes a balancer for a node in a zone.
func New(config Config, zone string) *Balancer {
	return &Balancer{config: config, zone: zone, now: time.Now, leafs: map[string]*Leaf{}, keys: map[LeafKey]*Leaf{}, leaving: map[string]time.Time{}}
}

// OnDraining sets who is told, without the balancer's locks held, of a leaf that said itself
// that it is leaving. It must be set before the balancer is used.
func (b *Balancer) OnDraining(tell func(leafID string)) { b.onDraining = tell }

// OnEjected sets who is told, without the balancer's locks held, of a leaf that is ejected or
// back. It must be set before the balancer is used.
func (b *Balancer) OnEjected(tell func(leafID string, ejected bool)) { b.onEjected = tell }

func (b *Balancer) leaf(id, zone string, now time.Time) *Leaf {
	b.mu.RLock()
	leaf, found := b.leafs[id]
	b.mu.RUnlock()
	if found {
		return leaf
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if leaf, found = b.leafs[id]; found {
		return leaf
	}
	leaf = newLeaf(id, zone, b.config, now)
	b.leafs[id] = leaf
	b.keys[leaf.key] = leaf
	return leaf
}

// QueueingFactor gives how many times its usual time one more attempt takes at the least busy of some
// replicas, because others wait there; 0 when none of them can be asked.
func (b *Balancer) QueueingFactor(candidates []Candidate) float64 {
	now := b.now()
	least := 0.0
	for _, candidate := range candidates {
		if candidate.Leaving || b.isLeaving(candidate.LeafID, now) {
			continue
		}
		queueing, usable := b.leaf(candidate.LeafID, candidate.Zone, now).queue(b.config, now)
		if usable && (least == 0 || queueing < least) {
			least = queueing
		}
	}
	return least
}

// SetLeaving records the word of the machine list or a peer that a leaf must get no new work
// until a time.
func (b *Balancer) SetLeaving(leafID string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving[leafID] = until
}

// isLeaving reports whether such word holds.
func (b *Balancer) isLeaving(leafID string, now time.Time) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	until, found := b.leaving[leafID]
	return found && now.Before(until)
}

// Start counts an attempt at the leaf in.
func (b *Balancer) Start(leaf *Leaf) { leaf.start(b.now()) }

// Finish counts an attempt at the leaf out. Typical is what such work usually takes at any leaf;
// 0 when that is not known.
func (b *Balancer) Finish(leaf *Leaf, outcome Outcome, took, typical time.Duration) {
	result := leaf.finish(b.config, outcome, took, typical, b.now())
	if result.changed && b.onEjected != nil {
		b.onEjected(leaf.ID, result.ejected)
	}
	b.tell(leaf, result.news)
	b.believe(result.belief)
	if outcome == Drained {
		b.tellDraining(leaf)
	}
}

// ReportLoad takes the load that a leaf's reply carried.
func (b *Balancer) ReportLoad(leaf *Leaf, load Load) {
	leaf.report(b.config, load, b.now())
	if load.Draining {
		b.tellDraining(leaf)
	}
}

func (b *Balancer) tellDraining(leaf *Leaf) {
	if b.onDraining != nil {
		b.onDraining(leaf.ID)
	}
}

// Forget drops leafs that no service has any more.
func (b *Balancer) Forget(known map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, leaf := range b.leafs {
		if !known[id] {
			delete(b.leafs, id)
			delete(b.keys, leaf.key)
		}
	}
	for id, until := range b.leaving {
		if now.After(until) {
			delete(b.leaving, id)
		}
	}
}

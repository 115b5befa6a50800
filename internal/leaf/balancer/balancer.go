// Package balancer chooses which replica of a shard is asked, and keeps the health state of each leaf for that.
//
// For each leaf it keeps the attempts in flight, the latency of this node's attempts, the load that the leaf reports,
// failures in a row, and how much slower than typical the leaf is by this node's attempts and by the observations of
// other nodes. What replies show outweighs what a leaf reports: a leaf that claims to be idle but answers slowly is
// passed over. Failing leafs are ejected, but the last replica of a shard is always asked, and ejected leafs come back
// through one probe at a time.
//
// It starts no goroutines, does no input or output and returns no errors. Callers report the start and the end of each
// attempt. Latencies are measured by the monotonic clock. Observations for other nodes are handed to a callback, see
// package leafgossip.
package balancer

import (
	"sync"
	"time"
)

// Balancer keeps the state of the leafs that this node has used. It is safe for concurrent use.
type Balancer struct {
	config Config
	zone   string
	now    func() time.Time

	// The callbacks may be nil.
	onDraining   func(leafID string)
	onEjected    func(leafID string, ejected bool)
	onObserved   func(Observation)
	onAssessment func(Assessment)

	mu      sync.RWMutex
	leafs   map[string]*Leaf
	keys    map[LeafKey]*Leaf
	leaving map[string]time.Time // until when, by leaf id
}

// New returns a balancer for a node in a zone.
func New(config Config, zone string) *Balancer {
	return &Balancer{config: config, zone: zone, now: time.Now, leafs: map[string]*Leaf{}, keys: map[LeafKey]*Leaf{}, leaving: map[string]time.Time{}}
}

// OnDraining sets the callback for a leaf that reports that it drains. It is called without the balancer's locks held
// and must be set before the balancer is used.
func (b *Balancer) OnDraining(notify func(leafID string)) { b.onDraining = notify }

// OnEjected sets the callback for a leaf that is ejected or back in use. It is called without the balancer's locks held
// and must be set before the balancer is used.
func (b *Balancer) OnEjected(notify func(leafID string, ejected bool)) { b.onEjected = notify }

// OnAssessment sets the callback for a leaf whose condition changed. It is called without the balancer's locks held and
// must be set before the balancer is used.
func (b *Balancer) OnAssessment(notify func(Assessment)) { b.onAssessment = notify }

// OnObserved sets the callback for observations that other nodes should get. It is called without the balancer's locks
// held and must be set before the balancer is used.
func (b *Balancer) OnObserved(notify func(Observation)) { b.onObserved = notify }

// Start counts an attempt at the leaf as in flight.
func (b *Balancer) Start(leaf *Leaf) { leaf.start(b.now()) }

// Finish records the end of an attempt at the leaf. Typical is the typical latency of such an attempt at any leaf; 0
// if unknown.
func (b *Balancer) Finish(leaf *Leaf, outcome Outcome, took, typical time.Duration) {
	change := leaf.finish(b.config, outcome, took, typical, b.now())
	if change.ejectionChanged && b.onEjected != nil {
		b.onEjected(leaf.ID, change.ejected)
	}
	b.notifyObserved(leaf, change.observation)
	b.notifyAssessment(change.assessment)
	if outcome == Drained {
		b.notifyDraining(leaf)
	}
}

// AttemptLate records that an attempt at a leaf is late. If the leaf is silent, other nodes are notified.
func (b *Balancer) AttemptLate(leafID string) {
	b.mu.RLock()
	leaf, found := b.leafs[leafID]
	b.mu.RUnlock()
	if found {
		b.notifyObserved(leaf, leaf.observeSilence(b.now()))
	}
}

// ReportLoad records the load that a leaf's reply carried.
func (b *Balancer) ReportLoad(leaf *Leaf, load Load) {
	leaf.report(b.config, load, b.now())
	if load.Draining {
		b.notifyDraining(leaf)
	}
}

// HandleObservation records what another node observed.
func (b *Balancer) HandleObservation(observed Observation) {
	b.mu.RLock()
	leaf, found := b.keys[observed.Leaf]
	b.mu.RUnlock()
	if found {
		b.notifyAssessment(leaf.handle(observed, b.now()))
	}
}

// SetLeaving records that a leaf must get no new attempts until a time, by the machine list or a peer.
func (b *Balancer) SetLeaving(leafID string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving[leafID] = until
}

// Forget drops the state of leafs that are not known any more.
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

// leaf returns the state of a leaf, which is new if the leaf was not used before.
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

// isLeaving reports whether SetLeaving is in force for a leaf.
func (b *Balancer) isLeaving(leafID string, now time.Time) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	until, found := b.leaving[leafID]
	return found && now.Before(until)
}

func (b *Balancer) notifyDraining(leaf *Leaf) {
	if b.onDraining != nil {
		b.onDraining(leaf.ID)
	}
}

// notifyObserved passes on an observation of a leaf; nil is none.
func (b *Balancer) notifyObserved(leaf *Leaf, observed *Observation) {
	if observed == nil || b.onObserved == nil {
		return
	}
	observed.Leaf = leaf.key
	b.onObserved(*observed)
}

// notifyAssessment passes on a changed assessment; nil is none.
func (b *Balancer) notifyAssessment(changed *Assessment) {
	if changed != nil && b.onAssessment != nil {
		b.onAssessment(*changed)
	}
}

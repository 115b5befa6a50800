// Package balancer chooses the replica of a shard for each attempt and tracks the health of each leaf.
//
// For each leaf, it tracks the attempts in flight, the latency of this node's attempts, the load that the leaf reports,
// consecutive failures, and the slowness relative to the typical latency, as observed by this node and by other nodes.
// Measured latency outweighs reported load: a leaf that reports no load but answers slowly is passed over. Failing
// leafs are ejected and probed by one attempt at a time, but the last replica of a shard is always used.
//
// The package starts no goroutines, does no I/O and returns no errors. Callers report the start and the end of each
// attempt. Latencies are measured with the monotonic clock. Observations for other nodes are passed to a callback; see
// package leafgossip.
package balancer

import (
	"sync"
	"time"
)

// Balancer holds the state of the leafs that this node has used. It is safe for concurrent use.
type Balancer struct {
	cfg  Config
	zone string
	now  func() time.Time

	// The callbacks may be nil.
	onDraining   func(leafID string)
	onEjected    func(leafID string, ejected bool)
	onObserved   func(Observation)
	onAssessment func(Assessment)

	mu      sync.RWMutex
	leafs   map[string]*Leaf
	byKey   map[LeafKey]*Leaf
	leaving map[string]time.Time // the end of the period, by leaf ID
}

// New returns a balancer for a node in the given zone.
func New(cfg Config, zone string) *Balancer {
	return &Balancer{cfg: cfg, zone: zone, now: time.Now, leafs: map[string]*Leaf{}, byKey: map[LeafKey]*Leaf{}, leaving: map[string]time.Time{}}
}

// OnDraining sets the callback for a leaf that reports that it is draining. The callback is called without the
// balancer's locks held and must be set before the balancer is used.
func (b *Balancer) OnDraining(notify func(leafID string)) { b.onDraining = notify }

// OnEjected sets the callback for a leaf that is ejected or readmitted. The callback is called without the balancer's
// locks held and must be set before the balancer is used.
func (b *Balancer) OnEjected(notify func(leafID string, ejected bool)) { b.onEjected = notify }

// OnAssessment sets the callback for a leaf whose condition changed. The callback is called without the balancer's
// locks held and must be set before the balancer is used.
func (b *Balancer) OnAssessment(notify func(Assessment)) { b.onAssessment = notify }

// OnObserved sets the callback for observations to send to other nodes. The callback is called without the balancer's
// locks held and must be set before the balancer is used.
func (b *Balancer) OnObserved(notify func(Observation)) { b.onObserved = notify }

// Start records the start of an attempt at the leaf.
func (b *Balancer) Start(leaf *Leaf) { leaf.start(b.now()) }

// Finish records the end of an attempt at the leaf. The parameter typical is the typical latency of such an attempt at
// any leaf, or 0 if it is unknown.
func (b *Balancer) Finish(leaf *Leaf, outcome Outcome, took, typical time.Duration) {
	change := leaf.finish(b.cfg, outcome, took, typical, b.now())
	if change.ejectionChanged && b.onEjected != nil {
		b.onEjected(leaf.ID, change.ejected)
	}
	b.notifyObserved(leaf, change.observation)
	b.notifyAssessment(change.assessment)
	if outcome == Drained {
		b.notifyDraining(leaf)
	}
}

// AttemptLate handles a late attempt at a leaf. If the leaf is silent, other nodes are notified.
func (b *Balancer) AttemptLate(leafID string) {
	b.mu.RLock()
	leaf, found := b.leafs[leafID]
	b.mu.RUnlock()
	if found {
		b.notifyObserved(leaf, leaf.observeSilence(b.now()))
	}
}

// ReportLoad records the load that a leaf reported with its reply.
func (b *Balancer) ReportLoad(leaf *Leaf, load Load) {
	leaf.report(b.cfg, load, b.now())
	if load.Draining {
		b.notifyDraining(leaf)
	}
}

// HandleObservation records the observation of another node.
func (b *Balancer) HandleObservation(observed Observation) {
	b.mu.RLock()
	leaf, found := b.byKey[observed.Leaf]
	b.mu.RUnlock()
	if found {
		b.notifyAssessment(leaf.handle(observed, b.now()))
	}
}

// SetLeaving excludes a leaf from new attempts until the given time, because the machine list or a peer says that it is
// leaving. A time before the stored one is ignored, because an older notice may arrive after its renewal.
func (b *Balancer) SetLeaving(leafID string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.leaving[leafID]) {
		b.leaving[leafID] = until
	}
}

// Forget drops the state of all leafs except the known ones.
func (b *Balancer) Forget(known map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, leaf := range b.leafs {
		if !known[id] {
			delete(b.leafs, id)
			delete(b.byKey, leaf.key)
		}
	}
	for id, until := range b.leaving {
		if now.After(until) {
			delete(b.leaving, id)
		}
	}
}

// leaf returns the state of a leaf, creating it on first use.
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
	leaf = newLeaf(id, zone, b.cfg, now)
	b.leafs[id] = leaf
	b.byKey[leaf.key] = leaf
	return leaf
}

// isLeaving reports whether SetLeaving excludes a leaf at the given time.
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

// notifyObserved calls the OnObserved callback unless the observation is nil.
func (b *Balancer) notifyObserved(leaf *Leaf, observed *Observation) {
	if observed == nil || b.onObserved == nil {
		return
	}
	observed.Leaf = leaf.key
	b.onObserved(*observed)
}

// notifyAssessment calls the OnAssessment callback unless the assessment is nil.
func (b *Balancer) notifyAssessment(changed *Assessment) {
	if changed != nil && b.onAssessment != nil {
		b.onAssessment(*changed)
	}
}

// Package catalog holds the configuration in force on one node.
//
// The configuration is a set of keys, each written by compare-and-swap in the store. Every write has a store-wide
// revision. A node applies changes in revision order and never goes back: its configuration is the state of the store at
// one revision.
//
// A Catalog holds the entries, the View compiled from them, the recent changes for other nodes, and the time at which the
// revision was last confirmed as the newest. After a restore of the store it also holds the entries that are retained
// until they are rewritten (restored.go, retained.go). It starts no goroutines and calls no other node. Package
// configsync passes changes to it. Values that can't be decoded are reported and don't change the view. Ages are measured
// with a boottime.Clock, which includes the time during which the machine was suspended.
package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Catalog is the configuration state of a node. It is safe for concurrent use. Reads of the view take no lock.
type Catalog struct {
	view atomic.Pointer[View]
	// confirmed is when the revision in force was last known to be the newest, in nanoseconds after startedAt.
	// An offset from startedAt isn't affected by steps of the wall clock.
	confirmed atomic.Int64
	startedAt time.Time
	// clock includes the time during which the machine was suspended.
	clock boottime.Clock

	mu          sync.Mutex
	entries     map[string]Entry
	recent      []Change
	recentSize  int
	subscribers map[int]chan Change
	nextID      int
	rejected    func(key string, err error)
	// rollouts says that requests are routed by the versions of leafs. It is set before the first state.
	rollouts bool
	// restored describes the last restore of the store.
	restored restored
	// isProvisional says that the state in force came from a stale read of the store. Any other state replaces it.
	isProvisional atomic.Bool
}

// New returns an empty catalog at revision 0. rejected is called for each value that can't be decoded. The last
// valid value of its key stays in force.
func New(rejected func(key string, err error)) *Catalog {
	catalog := &Catalog{startedAt: time.Now(), entries: map[string]Entry{}, subscribers: map[int]chan Change{}, rejected: rejected}
	catalog.confirmed.Store(int64(neverConfirmed))
	catalog.view.Store(emptyView(0))
	return catalog
}

// EnableRollouts restricts each service to the leafs of its serving version and enables rollout specs. It must be
// called before the catalog has any state.
func (c *Catalog) EnableRollouts() { c.rollouts = true }

// SetClock sets the clock that measures the age of the configuration and how long leafs are cold or lost. It should
// include the time during which the machine is suspended. It must be called before the catalog has any state.
func (c *Catalog) SetClock(clock boottime.Clock) {
	c.clock = clock
	c.startedAt = clock.Now()
}

// View returns the configuration in force.
func (c *Catalog) View() *View { return c.view.Load() }

// Revision returns the revision in force.
func (c *Catalog) Revision() int64 { return c.view.Load().Revision }

// Apply applies a change if it directly follows the revision in force. It reports whether the change is now in
// force, through this call or an earlier one; false means a gap.
func (c *Catalog) Apply(change Change) bool { return c.ApplyAll([]Change{change}) }

// ApplyAll applies changes in revision order, up to the first gap, in one step: a key that changed many times is
// decoded once. It reports whether the last change is now in force. A restore of the store is a gap; only Replace
// applies the state after it.
func (c *Catalog) ApplyAll(changes []Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.view.Load()
	applied, newest, complete := consecutive(changes, current.Revision)
	if len(applied) == 0 {
		return complete
	}
	atRevision := applied[len(applied)-1].Entry.Revision
	c.isProvisional.Store(false)
	draft := c.newDraft(current, atRevision)
	for _, entry := range newest {
		if c.isOutdated(entry) {
			continue
		}
		delete(c.restored.retained, entry.Key)
		c.setEntry(entry)
		c.compile(draft, entry)
	}
	c.view.Store(draft.compiled())
	for _, change := range applied {
		c.addRecent(change)
		c.publish(change)
	}
	return complete
}

// consecutive returns the changes that follow a revision without a gap, and the newest entry of each of their keys.
// complete reports that there is no gap.
func consecutive(changes []Change, atRevision int64) (applied []Change, newest map[string]Entry, complete bool) {
	newest = map[string]Entry{}
	for _, change := range changes {
		if change.Entry.Revision <= atRevision {
			continue
		}
		if change.Previous > atRevision || revision.IsLater(change.Entry.Revision, atRevision) {
			return applied, newest, false
		}
		atRevision = change.Entry.Revision
		for _, entry := range change.Entries() {
			if entry.Key != MarkerKey {
				newest[entry.Key] = entry
			}
		}
		applied = append(applied, change)
	}
	return applied, newest, true
}

// Replace applies a whole state if it is newer than the one in force, and reports whether it did. The difference is
// kept as one change, for nodes that are at the previous revision. After a restore of the store, the entries that are
// newer on this node stay in force, see RetainedEntry.
func (c *Catalog) Replace(snapshot Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.view.Load()
	wasProvisional := c.isProvisional.Load()
	if snapshot.Revision <= current.Revision && (!wasProvisional || snapshot.IsStale) {
		return false
	}
	c.isProvisional.Store(snapshot.IsStale)
	entries := c.mergeEntries(snapshot, current.Revision == 0 || wasProvisional)
	snapshot.Entries = entries
	difference := difference(c.entries, current.Revision, snapshot)
	known := c.entries
	c.entries = make(map[string]Entry, len(entries))
	draft := c.newDraft(emptyView(snapshot.Revision), snapshot.Revision)
	// If the new routes can't be decoded, the old ones stay in force.
	draft.view.Routes, draft.acceptsOlderRoutes = current.Routes, wasProvisional
	draft.leafsBefore, draft.rolloutsBefore = current.Leafs, current.Rollouts
	draft.useEditor(leafset.Replace(current.Leafs))
	for _, entry := range entries {
		c.recordOverwritten(known, entry)
		c.entries[entry.Key] = entry
		c.compile(draft, entry)
	}
	c.view.Store(draft.compiled())
	c.publish(difference)
	c.addRecentDifference(current.Revision, difference)
	return true
}

// setEntry stores an entry. The tombstones of transient keys are dropped: process IDs are never reused, so their
// tombstones would accumulate.
func (c *Catalog) setEntry(entry Entry) {
	c.recordOverwritten(c.entries, entry)
	if entry.Deleted && isTransient(entry.Key) {
		delete(c.entries, entry.Key)
		return
	}
	c.entries[entry.Key] = entry
}

// Snapshot returns the whole state at the revision in force, tombstones included.
func (c *Catalog) Snapshot() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := Snapshot{Revision: c.view.Load().Revision, Entries: make([]Entry, 0, len(c.entries))}
	for _, entry := range c.entries {
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	return snapshot
}

// Entry returns the entry in force under a key.
func (c *Catalog) Entry(key string) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, found := c.entries[key]
	return entry, found
}

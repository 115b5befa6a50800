// Package catalog holds the configuration that one node has in force.
//
// The configuration is a set of keys, each written by compare-and-swap in the store. Every write has a store-wide
// revision. A node applies changes in order of revision and never goes back: what it has in force is the state of the
// store at one revision.
//
// A Catalog owns that state: the entries, the View compiled from them, the recent changes for other nodes, and how long
// ago the revision was confirmed as the newest. After a restore of the store it also owns the entries that are retained
// until they are written again (restored.go, retained.go). It starts no goroutines and calls no other node; package
// configsync brings it changes. Values that can't be decoded are reported and don't change the view. Ages are counted by a
// boottime.Clock, which includes the time for which the machine was suspended.
package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Catalog is the configuration state of a node. Reads are lock-free; writes take the lock.
type Catalog struct {
	view atomic.Pointer[View]
	// confirmed is how long after the start of the catalog the revision in force was last known to be the newest;
	// counted from there, it is free of steps of the time of day.
	confirmed atomic.Int64
	startedAt time.Time
	// clock counts the time for which the machine was suspended.
	clock boottime.Clock

	mu          sync.Mutex
	entries     map[string]Entry
	recent      []Change
	recentSize  int
	subscribers map[int]chan Change
	nextID      int
	rejected    func(key string, err error)
	// rollouts says that versions of leafs matter; set before the first state.
	rollouts bool
	// restored is what is known of the last restore of the store.
	restored restored
	// isProvisional says that the state in force is one that the store may have told of late: any other goes before it.
	isProvisional atomic.Bool
}

// New returns an empty catalog at revision 0. The rejected function is told of values that
// can't be decoded; such a key keeps its last good value in force.
func New(rejected func(key string, err error)) *Catalog {
	catalog := &Catalog{startedAt: time.Now(), entries: map[string]Entry{}, subscribers: map[int]chan Change{}, rejected: rejected}
	catalog.confirmed.Store(int64(neverConfirmed))
	catalog.view.Store(emptyView(0))
	return catalog
}

// EnableRollouts has services served by the leafs of one version only, and orders to move them to another be
// followed. It must be called before the catalog has any state.
func (c *Catalog) EnableRollouts() { c.rollouts = true }

// SetClock has what is fresh, cold or lost for a while measured by a clock, which should count the time for which the
// machine is suspended. It must be called before the catalog has any state.
func (c *Catalog) SetClock(clock boottime.Clock) {
	c.clock = clock
	c.startedAt = clock.Now()
}

// View returns the configuration in force.
func (c *Catalog) View() *View { return c.view.Load() }

// Revision returns the revision in force.
func (c *Catalog) Revision() int64 { return c.view.Load().Revision }

// Apply takes a change if it follows directly on the revision in force. It reports whether
// the change is now in force, be it by this call or an earlier one; false means a gap.
func (c *Catalog) Apply(change Change) bool { return c.ApplyAll([]Change{change}) }

// ApplyAll takes changes in order of revision, up to the first gap, and puts them into force
// together, so that a key changed many times is decoded once. It reports whether the last of
// them is now in force. A restore of the store is a gap: what is known from before it is weighed against
// a whole state, see Replace.
func (c *Catalog) ApplyAll(changes []Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.view.Load()
	position := current.Revision
	var applied []Change
	newest := map[string]Entry{}
	complete := true
	for _, change := range changes {
		if change.Entry.Revision <= position {
			continue
		}
		if change.Previous > position || revision.IsLater(change.Entry.Revision, position) {
			complete = false
			break
		}
		position = change.Entry.Revision
		for _, entry := range change.Entries() {
			if entry.Key != MarkerKey {
				newest[entry.Key] = entry
			}
		}
		applied = append(applied, change)
	}
	if len(applied) == 0 {
		return complete
	}
	c.isProvisional.Store(false)
	draft := c.newDraft(current, position)
	for _, entry := range newest {
		if c.isOutdated(entry) {
			continue
		}
		delete(c.restored.retained, entry.Key)
		c.setEntry(entry)
		c.compile(draft, entry)
	}
	c.view.Store(draft.done())
	for _, change := range applied {
		c.addRecent(change)
		c.publish(change)
	}
	return complete
}

// Replace takes a whole state if it is newer than the one in force, and reports whether. What it
// changed is kept as one change, so that other nodes can be given just that. Of a store that was restored since,
// only what is newer than what this node knows is taken: see Kept.
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
	// Routes that can't be read must not leave the node without any.
	draft.view.Routes, draft.acceptsOlderRoutes = current.Routes, wasProvisional
	draft.before, draft.rolloutsBefore = current.Leafs, current.Rollouts
	draft.useEditor(leafset.Replace(current.Leafs))
	for _, entry := range entries {
		c.noteOverwritten(known, entry)
		c.entries[entry.Key] = entry
		c.compile(draft, entry)
	}
	c.view.Store(draft.done())
	c.publish(difference)
	c.addRecentDifference(current.Revision, difference)
	return true
}

// keep remembers an entry; a tombstone of a record that comes and goes with its process is
// dropped, since ids are never used again and the tombstones would pile up.
func (c *Catalog) setEntry(entry Entry) {
	c.noteOverwritten(c.entries, entry)
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

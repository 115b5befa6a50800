package catalog

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/manifest"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// recentLimit is how many changes a node keeps to bring others up to date without sending
// the whole state. At 14,000 changes a day it spans more than two hours.
const recentLimit = 1500

// recentBytes bounds the memory of those changes.
const recentBytes = 4 << 20

// Service is one service as it is in force; immutable.
type Service struct {
	Spec             *adminv1.ServiceSpec
	Revision         int64
	Manifest         *manifest.Manifest
	SnapshotRevision int64
	// Leafs indexes Spec.Leafs by id.
	Leafs map[string]*adminv1.Leaf
}

// View is the configuration in force at one revision; immutable.
type View struct {
	Revision int64
	Services map[string]*Service
	// Routes is the routing table; nil while there is none.
	Routes *routing.Table
	// Leafs is what discovery tells of leafs.
	Leafs *leafset.Set
	// Remembered is the list of leafs that the fleet wrote down last.
	Remembered *leafset.Set
	// Nodes are the registered nodes of the fleet by id.
	Nodes map[string]NodeRecord
	// Rollouts are the orders to move services to other versions, by service, and how far they are.
	Rollouts map[string]Rollout
	// Quarantine are the requests that go to no leaf.
	Quarantine map[fingerprint.Fingerprint]*quarantine.Record
	// Versions are the versions that services without a roll-out are served by, by service.
	Versions map[string]string
}

func emptyView(at int64) *View {
	return &View{Revision: at, Services: map[string]*Service{}, Leafs: leafset.Empty(), Remembered: leafset.Empty(), Nodes: map[string]NodeRecord{}, Rollouts: map[string]Rollout{}}
}

// Snapshot is the whole state, for a node that is too far behind for single changes.
type Snapshot struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"entries"`
	// IsStale says that the store may have told of an earlier state, and that the revision is only what it said with it.
	IsStale bool `json:"-"`
}

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

// Now returns the instant by the catalog's clock.
func (c *Catalog) Now() time.Time { return c.clock.Now() }

// ConfirmSince records that the revision in force was the newest so long before an answer that was asked for at a mark. One
// that had come before the machine was suspended is as old as that, too.
func (c *Catalog) ConfirmSince(asked boottime.Mark, age time.Duration) {
	c.Confirm(c.Now().Add(-age - asked.Suspended()))
}

// Mark returns the instant by which ConfirmSince tells whether the machine was suspended.
func (c *Catalog) Mark() boottime.Mark { return c.clock.Mark() }

// Age returns how long ago the revision in force was last known to be the newest.
func (c *Catalog) Age() time.Duration { return c.clock.Since(c.ConfirmedAt()) }

// View returns the configuration in force.
func (c *Catalog) View() *View { return c.view.Load() }

// Revision returns the revision in force.
func (c *Catalog) Revision() int64 { return c.view.Load().Revision }

// neverConfirmed is when the revision in force of a new catalog was the newest: long before any.
const neverConfirmed = -50 * 365 * 24 * time.Hour

// Confirm records that the revision in force was the newest at the given time by the catalog's clock, see Now.
func (c *Catalog) Confirm(at time.Time) {
	c.isProvisional.Store(false)
	after := int64(at.Sub(c.startedAt))
	for {
		known := c.confirmed.Load()
		if after <= known || c.confirmed.CompareAndSwap(known, after) {
			return
		}
	}
}

// ConfirmedAt returns when the revision in force was last known to be the newest, by the catalog's clock. What passed
// since does not depend on the time of day.
func (c *Catalog) ConfirmedAt() time.Time { return c.startedAt.Add(time.Duration(c.confirmed.Load())) }

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
		if c.isOutranked(entry) {
			continue
		}
		delete(c.restored.kept, entry.Key)
		c.keep(entry)
		c.compile(draft, entry)
	}
	c.view.Store(draft.done())
	for _, change := range applied {
		c.remember(change)
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
	entries := c.entriesOf(snapshot, current.Revision == 0 || wasProvisional)
	snapshot.Entries = entries
	difference := difference(c.entries, current.Revision, snapshot)
	known := c.entries
	c.entries = make(map[string]Entry, len(entries))
	draft := c.newDraft(emptyView(snapshot.Revision), snapshot.Revision)
	// Routes that can't be read must not leave the node without any.
	draft.view.Routes, draft.isOlderTaken = current.Routes, wasProvisional
	draft.before, draft.rolloutsBefore = current.Leafs, current.Rollouts
	draft.useEditor(leafset.Replace(current.Leafs))
	for _, entry := range entries {
		c.noteReplaced(known, entry)
		c.entries[entry.Key] = entry
		c.compile(draft, entry)
	}
	c.view.Store(draft.done())
	c.publish(difference)
	c.rememberReplaced(current.Revision, difference)
	return true
}

// rememberReplaced keeps what a whole state changed, unless there was nothing before it, it is too large, or the store was
// restored; then earlier changes don't reach the revision in force any more.
func (c *Catalog) rememberReplaced(before int64, difference Change) {
	if before == 0 || difference.Size() > recentBytes || revision.IsLater(difference.Entry.Revision, before) {
		c.recent, c.recentSize = nil, 0
		return
	}
	c.remember(difference)
}

// difference returns what a newer whole state changes, as one change.
func difference(known map[string]Entry, before int64, newer Snapshot) Change {
	change := Change{Entry: Marker(newer.Revision), Previous: before}
	present := make(map[string]bool, len(newer.Entries))
	for _, entry := range newer.Entries {
		present[entry.Key] = true
		if had, found := known[entry.Key]; !found || had.Revision != entry.Revision {
			change.More = append(change.More, entry)
		}
	}
	for key := range known {
		if isTransient(key) && !present[key] {
			change.More = append(change.More, Entry{Key: key, Revision: newer.Revision, Deleted: true})
		}
	}
	return change
}

// Size is the size of the values of a change, in bytes.
func (c Change) Size() int {
	size := 0
	for _, entry := range c.Entries() {
		size += len(entry.Value)
	}
	return size
}

// keep remembers an entry; a tombstone of a record that comes and goes with its process is
// dropped, since ids are never used again and the tombstones would pile up.
func (c *Catalog) keep(entry Entry) {
	c.noteReplaced(c.entries, entry)
	if entry.Deleted && isTransient(entry.Key) {
		delete(c.entries, entry.Key)
		return
	}
	c.entries[entry.Key] = entry
}

// Since returns the changes after a revision, or false when they are no longer kept.
func (c *Catalog) Since(after int64) ([]Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after >= c.view.Load().Revision {
		return nil, true
	}
	if len(c.recent) == 0 || c.recent[0].Previous > after {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(c.recent, after+1, func(change Change, wanted int64) int {
		return cmp.Compare(change.Entry.Revision, wanted)
	})
	return slices.Clone(c.recent[first:]), true
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

// Subscribe returns each change from now on, what a whole state changed as one, until the returned
// function is called. A subscriber that does not keep up loses changes; each has its revision, so it
// can tell.
func (c *Catalog) Subscribe(buffer int) (<-chan Change, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.nextID
	c.nextID++
	changes := make(chan Change, buffer)
	c.subscribers[id] = changes
	return changes, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscribers, id)
	}
}

func (c *Catalog) publish(change Change) {
	for _, subscriber := range c.subscribers {
		select {
		case subscriber <- change:
		default:
		}
	}
}

func (c *Catalog) remember(change Change) {
	c.recent = append(c.recent, change)
	c.recentSize += change.Size()
	for len(c.recent) > recentLimit || (c.recentSize > recentBytes && len(c.recent) > 1) {
		c.recentSize -= c.recent[0].Size()
		c.recent = c.recent[1:]
	}
}

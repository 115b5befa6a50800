package catalog

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/manifest"
)

// recentLimit is how many changes a node keeps to bring others up to date without sending
// the whole state. At 14,000 changes a day it spans more than two hours.
const recentLimit = 1500

// recentBytes bounds the memory of those changes.
const recentBytes = 8 << 20

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
}

// Snapshot is the whole state, for a node that is too far behind for single changes.
type Snapshot struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// Catalog is the configuration state of a node. Reads are lock-free; writes take the lock.
type Catalog struct {
	view      atomic.Pointer[View]
	confirmed atomic.Int64

	mutex       sync.Mutex
	entries     map[string]Entry
	recent      []Change
	recentSize  int
	subscribers map[int]chan Change
	nextID      int
	rejected    func(key string, err error)
}

// New makes an empty catalog at revision 0. The rejected function is told of values that
// can't be decoded; such a key keeps its last good value in force.
func New(rejected func(key string, err error)) *Catalog {
	catalog := &Catalog{entries: map[string]Entry{}, subscribers: map[int]chan Change{}, rejected: rejected}
	catalog.view.Store(&View{Services: map[string]*Service{}})
	return catalog
}

// View gives the configuration in force.
func (c *Catalog) View() *View { return c.view.Load() }

// Revision gives the revision in force.
func (c *Catalog) Revision() int64 { return c.view.Load().Revision }

// Confirm records that the revision in force was the newest at the given time.
func (c *Catalog) Confirm(at time.Time) {
	nanos := at.UnixNano()
	for {
		known := c.confirmed.Load()
		if nanos <= known || c.confirmed.CompareAndSwap(known, nanos) {
			return
		}
	}
}

// ConfirmedAt gives when the revision in force was last known to be the newest.
func (c *Catalog) ConfirmedAt() time.Time { return time.Unix(0, c.confirmed.Load()) }

// Apply takes a change if it follows directly on the revision in force. It reports whether
// the change is now in force, be it by this call or an earlier one; false means a gap.
func (c *Catalog) Apply(change Change) bool { return c.ApplyAll([]Change{change}) }

// ApplyAll takes changes in order of revision, up to the first gap, and puts them into force
// together, so that a key changed many times is decoded once. It reports whether the last of
// them is now in force.
func (c *Catalog) ApplyAll(changes []Change) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	current := c.view.Load()
	revision := current.Revision
	var applied []Change
	newest := map[string]Entry{}
	complete := true
	for _, change := range changes {
		if change.Entry.Revision <= revision {
			continue
		}
		if change.Previous > revision {
			complete = false
			break
		}
		revision = change.Entry.Revision
		newest[change.Entry.Key] = change.Entry
		applied = append(applied, change)
	}
	if len(applied) == 0 {
		return complete
	}
	next := &View{Revision: revision, Services: cloneServices(current.Services)}
	for key, entry := range newest {
		c.entries[key] = entry
		c.compile(next, entry)
	}
	c.view.Store(next)
	for _, change := range applied {
		c.remember(change)
		c.publish(change)
	}
	return complete
}

// Replace takes a whole state if it is newer than the one in force, and reports whether.
func (c *Catalog) Replace(snapshot Snapshot) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	current := c.view.Load()
	if snapshot.Revision <= current.Revision {
		return false
	}
	c.entries = make(map[string]Entry, len(snapshot.Entries))
	c.recent, c.recentSize = nil, 0
	next := &View{Revision: snapshot.Revision, Services: map[string]*Service{}}
	for _, entry := range snapshot.Entries {
		c.entries[entry.Key] = entry
		c.compile(next, entry)
		if entry.Revision > current.Revision {
			c.publish(Change{Entry: entry})
		}
	}
	c.view.Store(next)
	return true
}

// Since gives the changes after a revision, or false when they are no longer kept.
func (c *Catalog) Since(revision int64) ([]Change, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if revision >= c.view.Load().Revision {
		return nil, true
	}
	if len(c.recent) == 0 || c.recent[0].Previous > revision {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(c.recent, revision+1, func(change Change, wanted int64) int {
		return int(change.Entry.Revision - wanted)
	})
	return slices.Clone(c.recent[first:]), true
}

// Snapshot gives the whole state at the revision in force, tombstones included.
func (c *Catalog) Snapshot() Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	snapshot := Snapshot{Revision: c.view.Load().Revision, Entries: make([]Entry, 0, len(c.entries))}
	for _, entry := range c.entries {
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	return snapshot
}

// Entry gives the entry in force under a key.
func (c *Catalog) Entry(key string) (Entry, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	entry, found := c.entries[key]
	return entry, found
}

// Subscribe gives each change from now on, until the returned function is called. A
// subscriber that does not keep up loses changes; each has its revision, so it can tell.
func (c *Catalog) Subscribe(buffer int) (<-chan Change, func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	id := c.nextID
	c.nextID++
	changes := make(chan Change, buffer)
	c.subscribers[id] = changes
	return changes, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
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
	c.recentSize += len(change.Entry.Value)
	for len(c.recent) > recentLimit || (c.recentSize > recentBytes && len(c.recent) > 1) {
		c.recentSize -= len(c.recent[0].Entry.Value)
		c.recent = c.recent[1:]
	}
}

// compile puts one entry into a view that is not yet in force.
func (c *Catalog) compile(view *View, entry Entry) {
	var err error
	if name, isService := serviceOfKey(entry.Key); isService {
		err = compileService(view, name, entry)
	} else if name, isSnapshot := serviceOfSnapshotKey(entry.Key); isSnapshot {
		err = compileSnapshot(view, name, entry)
	}
	if err != nil && c.rejected != nil {
		c.rejected(entry.Key, err)
	}
}

func compileService(view *View, name string, entry Entry) error {
	service := editable(view, name)
	service.Revision = entry.Revision
	if entry.Deleted {
		service.Spec, service.Leafs = nil, nil
		return nil
	}
	spec, err := DecodeService(entry)
	if err != nil {
		return err
	}
	service.Spec = spec
	service.Leafs = make(map[string]*adminv1.Leaf, len(spec.GetLeafs()))
	for _, leaf := range spec.GetLeafs() {
		service.Leafs[leaf.GetId()] = leaf
	}
	return nil
}

func compileSnapshot(view *View, name string, entry Entry) error {
	service := editable(view, name)
	service.SnapshotRevision = entry.Revision
	if entry.Deleted {
		service.Manifest = nil
		return nil
	}
	message, err := DecodeSnapshot(entry)
	if err != nil {
		return err
	}
	compiled, err := manifest.New(message)
	if err != nil {
		return err
	}
	service.Manifest = compiled
	return nil
}

// editable gives a copy of the service that belongs to the new view alone.
func editable(view *View, name string) *Service {
	service := &Service{}
	if known, found := view.Services[name]; found {
		*service = *known
	}
	view.Services[name] = service
	return service
}

func cloneServices(services map[string]*Service) map[string]*Service {
	clone := make(map[string]*Service, len(services)+1)
	for name, service := range services {
		clone[name] = service
	}
	return clone
}

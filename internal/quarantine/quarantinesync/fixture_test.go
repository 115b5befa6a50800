package quarantinesync

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

var errDown = errors.New("the store is down")

// fleet is a set of nodes and their store. A write updates the catalogs of all nodes at once, except those that are
// partitioned from the fleet.
type fleet struct {
	t *testing.T
	// writing makes a compare-and-swap atomic.
	writing sync.Mutex

	mu           sync.Mutex
	isDown       bool
	losesAnswers bool // writes take effect, but their answers are lost
	writes       int
	entries      map[string]catalog.Entry
	revision     int64
	nodes        map[string]*node // by address
}

// node is one node of a fleet.
type node struct {
	fleet         *fleet
	record        catalog.NodeRecord
	catalog       *catalog.Catalog
	register      *quarantine.Register
	sync          *Sync
	isPartitioned bool
	sent          int
}

// newFleet starts nodes with the given IDs.
func newFleet(t *testing.T, ids ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, entries: map[string]catalog.Entry{}, nodes: map[string]*node{}}
	for _, id := range ids {
		f.start(id)
	}
	return f
}

func (f *fleet) start(id string) *node {
	record := catalog.NodeRecord{ID: id, Address: "address-of-" + id}
	n := &node{fleet: f, record: record, catalog: catalog.New(func(key string, err error) { f.t.Errorf("%s: %v", key, err) })}
	n.register = quarantine.NewRegister(quarantine.Deps{Config: quarantine.DefaultConfig(), StoredRecord: n.catalog.Quarantine, Self: id})
	n.sync = New(Deps{
		Config: DefaultConfig(), Limits: quarantine.DefaultConfig(), Register: n.register, Catalog: n.catalog, Store: f,
		Self: record, Sender: n, Events: silentEvents{},
	})
	f.mu.Lock()
	f.nodes[record.Address] = n
	f.mu.Unlock()
	f.putRecord(record)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go n.sync.Run(ctx)
	return n
}

// putRecord registers a node.
func (f *fleet) putRecord(record catalog.NodeRecord) {
	value, err := json.Marshal(record)
	if err != nil {
		f.t.Fatal(err)
	}
	wrapped, err := catalog.NewDocument("", value, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.put(catalog.NodeKey(record.ID), wrapped, false)
}

func (f *fleet) node(id string) *node { return f.nodes["address-of-"+id] }

func (n *node) Send(address string, message peer.Message) {
	n.fleet.mu.Lock()
	n.sent++
	to := n.fleet.nodes[address]
	isLost := n.isPartitioned || to == nil || to.isPartitioned
	n.fleet.mu.Unlock()
	if isLost {
		return
	}
	content, err := json.Marshal(message)
	if err != nil || len(content) > peer.MaxDatagram {
		n.fleet.t.Errorf("%d bytes: %v", len(content), err)
	}
	var read peer.Message
	if err := json.Unmarshal(content, &read); err != nil {
		n.fleet.t.Error(err)
	}
	time.AfterFunc(time.Millisecond, func() { to.sync.Handle("somewhere", *read.Quarantine) })
}

// countSent returns the number of datagrams that the node sent.
func (n *node) countSent() int {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.sent
}

// put writes a key and updates the catalogs of the nodes that are not partitioned.
func (f *fleet) put(key string, value []byte, remove bool) catalog.Entry {
	f.mu.Lock()
	f.revision++
	entry := catalog.Entry{Key: key, Value: value, Revision: f.revision, Deleted: remove}
	f.entries[key] = entry
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.refresh()
	}
	return entry
}

// refresh updates a node's catalog from the store, unless the node is partitioned.
func (n *node) refresh() {
	n.fleet.mu.Lock()
	snapshot := catalog.Snapshot{Revision: n.fleet.revision}
	for _, entry := range n.fleet.entries {
		if !entry.Deleted {
			snapshot.Entries = append(snapshot.Entries, entry)
		}
	}
	isPartitioned := n.isPartitioned
	n.fleet.mu.Unlock()
	if !isPartitioned {
		n.catalog.Replace(snapshot)
	}
}

func (f *fleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) Get(context.Context, string) (*catalog.Entry, error) { return nil, errDown }

func (f *fleet) List(context.Context, store.Consistency) (catalog.Snapshot, error) {
	return catalog.Snapshot{}, errDown
}

func (f *fleet) Watch(context.Context, int64, store.WatchRole, func(store.Event) error) error {
	return errDown
}

func (f *fleet) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, remove bool) (store.SwapResult, error) {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.mu.Lock()
	f.writes++
	stored, found := f.entries[key]
	isDown, losesAnswers := f.isDown, f.losesAnswers
	f.mu.Unlock()
	switch {
	case isDown:
		return store.SwapResult{}, errDown
	case stored.LiveRevision() != expected && found:
		return store.SwapResult{Entry: &stored}, nil
	case !found && expected != 0:
		return store.SwapResult{}, nil
	}
	entry := f.put(key, value, remove)
	if losesAnswers {
		return store.SwapResult{}, errDown
	}
	return store.SwapResult{Swapped: true, Entry: &entry}, nil
}

// silentEvents discards all events.
type silentEvents struct{}

func (silentEvents) Quarantined(quarantine.Record, string) {}
func (silentEvents) Saved(quarantine.Record, error)        {}
func (silentEvents) Retest(quarantine.Record, error)       {}
func (silentEvents) Lifted(fingerprint.Fingerprint)        {}
func (silentEvents) Dropped(int)                           {}

var subject = quarantine.NewSubject(fingerprint.Of(fingerprint.Content{Path: "/a"}), "/a", "192.0.2.1")

// crashLeafs makes a request crash three leafs at a node, in two episodes.
func (n *node) crashLeafs() {
	execution := n.register.Begin(subject, func() {})
	execution.LeafCrashed("leaf-1", 0)
	execution.LeafCrashed("leaf-2", 0)
	execution.LeafCrashed("leaf-3", 1)
	execution.End()
}

func (f *fleet) states() map[string]quarantine.State {
	states := map[string]quarantine.State{}
	for _, n := range f.nodes {
		states[n.record.ID] = n.register.State(subject.Fingerprint)
	}
	return states
}

func (f *fleet) allInState(state quarantine.State) bool {
	for _, actual := range f.states() {
		if actual != state {
			return false
		}
	}
	return true
}

// convergenceTime is the time within which all nodes must have the record after the third crash.
const convergenceTime = 4 * time.Second

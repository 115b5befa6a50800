package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/membership"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/peer/peertest"
)

var errDown = errors.New("store is down")

// memoryPlatform is an in-memory store and machine list.
type memoryPlatform struct {
	store.Store
	mu       sync.Mutex
	log      []catalog.Change
	changed  chan struct{}
	machines []machines.Machine
	lists    int
	watches  int
	// events counts the watch events by node. silent holds the nodes whose watches deliver no more events.
	events map[string]int
	silent map[string]bool
	// roles are the roles of the last watches by node.
	roles map[string]store.WatchRole
	// staleLists counts the stale reads, which return the state from staleBy changes ago.
	staleLists int
	staleBy    int
	// compacted is the revision up to which changes are no longer kept.
	compacted int64
	// cutOff holds the nodes that can't reach the platform.
	cutOff map[string]bool
	// epoch counts the restores. If hidesRestores is set, a restore doesn't advance it.
	epoch         int64
	hidesRestores bool
	// omitsChanges makes watches deliver the store's revision without the changes.
	omitsChanges bool
}

// platformView is one node's client of the platform.
type platformView struct {
	*memoryPlatform
	node string
}

func (p *memoryPlatform) write(t *testing.T, name string, limit uint32) int64 {
	t.Helper()
	value, err := catalog.NewEnvelope("c", &adminv1.ServiceSpec{Name: name, ConcurrencyLimit: limit}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p.put(catalog.ServiceKey(name), value)
}

// register writes the record of a node.
func (p *memoryPlatform) register(t *testing.T, node catalog.NodeRecord) {
	t.Helper()
	document, err := json.Marshal(node)
	if err != nil {
		t.Fatal(err)
	}
	value, err := catalog.NewDocument("", document, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.put(catalog.NodeKey(node.ID), value)
}

// put writes a key and returns the revision.
func (p *memoryPlatform) put(key string, value []byte) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := revision.At(p.epoch, int64(len(p.log)+1))
	p.log = append(p.log, catalog.Change{Entry: catalog.Entry{Key: key, Value: value, Revision: at}, Previous: at - 1})
	close(p.changed)
	p.changed = make(chan struct{})
	return at
}

// restore resets the store to its state after a number of changes.
func (p *memoryPlatform) restore(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hidesRestores {
		p.epoch++
	}
	p.log = slices.Clone(p.log[:count])
	for index := range p.log {
		p.log[index].Entry.Revision = revision.At(p.epoch, int64(index+1))
		p.log[index].Previous = revision.At(p.epoch, int64(index))
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p platformView) List(_ context.Context, consistency store.Consistency) (catalog.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutOff[p.node] {
		return catalog.Snapshot{}, errDown
	}
	known := p.log
	if consistency == store.Stale {
		p.staleLists++
		known = known[:max(0, len(known)-p.staleBy)]
	} else {
		p.lists++
	}
	entries := map[string]catalog.Entry{}
	for _, change := range known {
		entries[change.Entry.Key] = change.Entry
	}
	snapshot := catalog.Snapshot{Revision: revision.At(p.epoch, int64(len(known))), IsStale: consistency == store.Stale}
	for _, entry := range entries {
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	return snapshot, nil
}

func (p platformView) Watch(ctx context.Context, after int64, role store.WatchRole, receive func(store.Event) error) error {
	p.mu.Lock()
	p.watches++
	p.roles[p.node] = role
	receive = p.countEvents(receive)
	isCompacted := after < p.compacted
	p.mu.Unlock()
	if isCompacted {
		return store.ErrHistoryGone
	}
	for isFirst := true; ; isFirst = false {
		p.mu.Lock()
		if revision.Epoch(after) != p.epoch || revision.Count(after) > int64(len(p.log)) {
			p.mu.Unlock()
			return store.ErrHistoryGone
		}
		missed, changed, down := p.log[revision.Count(after):], p.changed, p.cutOff[p.node]
		newest, omitsChanges := revision.At(p.epoch, int64(len(p.log))), p.omitsChanges
		silent := p.silent[p.node]
		p.mu.Unlock()
		if silent {
			<-ctx.Done()
			return ctx.Err()
		}
		if down {
			return errDown
		}
		if isFirst && len(missed) == 0 {
			if err := receive(store.Event{Current: newest}); err != nil {
				return err
			}
		}
		if omitsChanges && after < newest {
			missed, after = nil, newest
			if err := receive(store.Event{Current: newest}); err != nil {
				return err
			}
		}
		for _, change := range missed {
			if err := receive(store.Event{Change: &change, Current: newest}); err != nil {
				return err
			}
			after = change.Entry.Revision
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(500 * time.Millisecond):
			if err := receive(store.Event{Current: after}); err != nil {
				return err
			}
		}
	}
}

// countEvents wraps a watch's receive function to count the events.
func (p platformView) countEvents(receive func(store.Event) error) func(store.Event) error {
	return func(event store.Event) error {
		p.mu.Lock()
		p.events[p.node]++
		p.mu.Unlock()
		return receive(event)
	}
}

func (p platformView) ListMachines(_ context.Context, query machines.Query) (machines.List, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutOff[p.node] {
		return machines.List{}, errDown
	}
	var list machines.List
	for _, machine := range p.machines {
		if (query.Zone == "" || machine.Zone == query.Zone) && (query.Role == "" || machine.Role == query.Role) {
			list.Machines = append(list.Machines, machine)
		}
	}
	return list, nil
}

// leafNotices records the notices of leaving leafs.
type leafNotices struct {
	mu      sync.Mutex
	leaving map[string]time.Time
}

func (n *leafNotices) SetLeaving(leafID string, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving[leafID] = until
}

// testNode is a node without its request path.
type testNode struct {
	id      string
	catalog *catalog.Catalog
	syncer  *Syncer
	leafs   *leafNotices
	stop    context.CancelFunc
	// unsettled is the revision at which the node is not settled, 0 if it is settled.
	unsettled atomic.Int64
}

// settledRevision returns the revision in force, or the revision before unsettled.
func (n *testNode) settledRevision() int64 {
	if unsettled := n.unsettled.Load(); unsettled > 0 {
		return unsettled - 1
	}
	return n.catalog.Revision()
}

// fleet is a set of nodes that share a platform and an in-memory network, in virtual time.
type fleet struct {
	t        *testing.T
	cfg      Config
	platform *memoryPlatform
	network  *peertest.Network
	nodes    map[string]*testNode
	// pushes counts the pushes sent by all nodes, including relayed ones.
	pushes atomic.Int64
}

func newFleet(t *testing.T, zones, perZone int) *fleet {
	f := &fleet{
		t: t, cfg: DefaultConfig(), platform: &memoryPlatform{changed: make(chan struct{}), cutOff: map[string]bool{}, roles: map[string]store.WatchRole{},
			events: map[string]int{}, silent: map[string]bool{}},
		network: peertest.NewNetwork(1, time.Millisecond), nodes: map[string]*testNode{},
	}
	for zone := range zones {
		for number := range perZone {
			id := fmt.Sprintf("z%d-n%d", zone, number)
			f.platform.machines = append(f.platform.machines, machines.Machine{ID: id, Address: id, Zone: fmt.Sprintf("z%d", zone), State: machines.Live, Role: machines.RoleNode})
		}
	}
	for _, machine := range f.platform.machines {
		f.start(machine.ID, machine.Zone)
	}
	return f
}

func (f *fleet) start(id, zone string, seeds ...string) {
	transport := f.network.Attach(id)
	view := platformView{f.platform, id}
	node := &testNode{id: id, catalog: catalog.New(nil), leafs: &leafNotices{leaving: map[string]time.Time{}}}
	node.syncer = New(Deps{
		Config: f.cfg, Catalog: node.catalog, Store: view, Machines: view, Transport: transport, Leafs: node.leafs, Logger: zap.NewNop(), Seeds: seeds,
		Settled: node.settledRevision, MessageSent: f.countPush,
	})
	self := peer.Member{ID: id, Address: id, Zone: zone, Incarnation: time.Now().UnixMilli()}
	members := membership.New(membership.DefaultConfig(), self, transport, node.syncer, xxhash.Sum64String(id))
	node.syncer.SetMembership(members)
	ctx, cancel := context.WithCancel(f.t.Context())
	node.stop = cancel
	transport.Serve(NewPeerHandler(node.syncer, Handlers{}))
	go node.syncer.Run(ctx)
	go members.Run(ctx)
	f.nodes[id] = node
}

// countPush counts a sent message if it is a push.
func (f *fleet) countPush(kind string) {
	if kind == "push" {
		f.pushes.Add(1)
	}
}

func (f *fleet) stopAll() {
	for _, node := range f.nodes {
		node.stop()
	}
	time.Sleep(time.Minute)
}

// lagging returns the nodes that don't have a revision in force yet.
func (f *fleet) lagging(wanted int64) []string {
	var lagging []string
	for id, node := range f.nodes {
		if node.catalog.Revision() < wanted {
			lagging = append(lagging, id)
		}
	}
	return lagging
}

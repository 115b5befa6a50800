package rolloutcontrol

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer/peertest"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// fleet is a set of nodes with a common store and an in-memory network, in virtual time.
type fleet struct {
	t            *testing.T
	cfg          Config
	store        *memoryStore
	network      *peertest.Network
	newEvaluator EvaluatorFactory
	ramp         time.Duration // duration of the ramp at each node
	mu           sync.Mutex
	nodes        map[string]*testNode
}

// all returns the running nodes.
func (f *fleet) all() []*testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.nodes))
}

func (f *fleet) node(id string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

// syncDelay is how long a change takes to reach all nodes.
const syncDelay = 100 * time.Millisecond

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, cfg: DefaultConfig(), network: peertest.NewNetwork(1, time.Millisecond), nodes: map[string]*testNode{}, newEvaluator: newThresholdEvaluator}
	f.store = &memoryStore{entries: map[string]catalog.Entry{}, rejected: map[string]bool{}, calls: map[string]int{}}
	f.store.onChange = func() { time.AfterFunc(syncDelay, f.syncAll) }
	for number := range size {
		id := fmt.Sprintf("n%d", number)
		f.store.set(catalog.NodeKey(id), catalog.NodeRecord{ID: id, Zone: fmt.Sprintf("z%d", number%3), Address: id})
	}
	for number := range size {
		f.start(fmt.Sprintf("n%d", number))
	}
	return f
}

// start starts a node, or restarts a killed node with the same ID.
func (f *fleet) start(id string) *testNode {
	n := &testNode{id: id, fleet: f, catalog: catalog.New(nil), transport: f.network.Attach(id)}
	n.rows, n.changed, n.aborted = map[evidence.Key]evidence.Tally{}, map[evidence.Key]bool{}, map[specKey]bool{}
	n.catalog.EnableRollouts()
	view := storeView{f.store, n}
	n.controller = New(Deps{
		Config: f.cfg, Catalog: n.catalog, Self: catalog.NodeRecord{ID: id, Address: id}, Counts: n, Splitter: n, NewEvaluator: f.newEvaluator,
		States: GuardedStateWriter{Store: view, Guarded: view, RetryPause: f.cfg.RetryPause}, Fleet: n, Sender: n, Events: n, Clock: n.clock,
	})
	n.transport.Serve(n)
	ctx, cancel := context.WithCancel(f.t.Context())
	n.stop = cancel
	n.sync()
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	go n.controller.Run(ctx)
	return n
}

// kill stops the process of a node.
func (f *fleet) kill(id string) {
	f.node(id).stop()
	f.network.Remove(id)
	f.mu.Lock()
	delete(f.nodes, id)
	f.mu.Unlock()
}

func (f *fleet) syncAll() {
	for _, node := range f.all() {
		node.sync()
	}
}

// pause suspends a node: until the duration has passed it neither sends nor receives, and its store calls block.
func (f *fleet) pause(id string, duration time.Duration) {
	node := f.node(id)
	ended := make(chan struct{})
	node.mu.Lock()
	node.paused = ended
	node.mu.Unlock()
	f.network.Freeze(id, true)
	time.AfterFunc(duration, func() {
		f.network.Freeze(id, false)
		node.mu.Lock()
		node.paused = nil
		node.mu.Unlock()
		close(ended)
		time.AfterFunc(syncDelay, node.sync)
	})
}

// setIsolated isolates a node from the other nodes and the store, or reconnects it.
func (f *fleet) setIsolated(id string, isolated bool) {
	node := f.node(id)
	node.mu.Lock()
	node.isolated = isolated
	node.mu.Unlock()
	f.network.Freeze(id, isolated)
	node.sync()
}

func (f *fleet) stopAll() {
	for _, node := range f.all() {
		node.stop()
	}
	time.Sleep(10 * time.Second)
}

// evaluatorNode returns the ID of the evaluator node of a service with the given rank.
func (f *fleet) evaluatorNode(service string, rank int) string {
	return f.evaluatorNodes(service)[rank].ID
}

func (f *fleet) evaluatorNodes(service string) []catalog.NodeRecord {
	return evaluatorNodesOf(f.all()[0].catalog.View().Nodes, service, f.cfg.EvaluatorNodes)
}

// otherNode returns the ID of a node that does not evaluate a service.
func (f *fleet) otherNode(service string) string {
	for _, node := range f.all() {
		if rankOf(f.evaluatorNodes(service), node.id) < 0 {
			return node.id
		}
	}
	panic("all nodes are evaluator nodes")
}

// attemptsReportedTo returns the number of attempts that a node received in reports for a spec of "s".
func (f *fleet) attemptsReportedTo(id string, revision int64) int64 {
	rows, _ := f.node(id).controller.tallies.sum(specKey{"s", revision})
	return attemptsOf(rows)
}

// attemptsCounted returns the number of attempts that the running nodes counted.
func (f *fleet) attemptsCounted() int64 {
	sum := int64(0)
	for _, node := range f.all() {
		sum += attemptsOf(node.Rows())
	}
	return sum
}

func attemptsOf(rows []evidence.Row) int64 {
	sum := int64(0)
	for _, row := range rows {
		sum += row.Attempts()
	}
	return sum
}

// addLeafs registers leafs of a version of a service.
func (f *fleet) addLeafs(service, version string, count int) {
	for number := range count {
		id := fmt.Sprintf("%s-%s-%d", service, version, number)
		f.store.set(catalog.LeafKey(id), leafset.Record{Name: id, Service: service, Address: "127.0.0.1:1", Zone: "z0", Version: version, State: leafset.Ready})
	}
}

// startRollout writes a spec and returns its revision.
func (f *fleet) startRollout(service, target string, duration time.Duration) int64 {
	return f.store.set(catalog.RolloutKey(service), rollout.Spec{Service: service, Target: target, DurationMillis: duration.Milliseconds()})
}

// serve makes each node send a request to each version of each service every 100 ms, unless the spec is aborted. The
// canary version fails from failsFrom on.
func (f *fleet) serve(duration, failsFrom time.Duration) {
	const interval = 100 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < duration; elapsed += interval {
		for _, node := range f.all() {
			node.sendRequests(elapsed >= failsFrom)
		}
		time.Sleep(interval)
	}
}

const never = time.Hour * 1000

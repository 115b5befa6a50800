package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/connshare"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafmemory"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/retrybudget"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// treeLeafs is the LeafCaller of one node; all nodes record their attempts in one log.
type treeLeafs struct {
	node     string
	attempts *attemptLog
	// answer is how leafs answer; nil means a success without delay.
	answer func(leaf string) (time.Duration, *leafhttp.Response, error)
}

type attemptLog struct {
	mu        sync.Mutex
	queried   map[string][]string // leaf IDs by node
	cancelled int
}

func (l *attemptLog) by(node string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.queried[node])
}

func (l *attemptLog) cancels() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cancelled
}

func (l *treeLeafs) Start(target leafhttp.Target, _ *leafhttp.Request, _ time.Time, done leafhttp.Done) context.CancelCauseFunc {
	l.attempts.mu.Lock()
	l.attempts.queried[l.node] = append(l.attempts.queried[l.node], target.LeafID)
	answer := l.answer
	l.attempts.mu.Unlock()
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		delay, response, err := time.Duration(0), answered(200, records(target.LeafID)), error(nil)
		if answer != nil {
			delay, response, err = answer(target.LeafID)
		}
		select {
		case <-time.After(delay):
			done(response, err)
		case <-ctx.Done():
			l.attempts.mu.Lock()
			l.attempts.cancelled++
			l.attempts.mu.Unlock()
			done(nil, &leafhttp.BrokenAnswerError{Cause: context.Cause(ctx)})
		}
	}()
	return cancel
}

// setAnswer sets how leafs answer subsequent attempts.
func (l *treeLeafs) setAnswer(answer func(leaf string) (time.Duration, *leafhttp.Response, error)) {
	l.attempts.mu.Lock()
	defer l.attempts.mu.Unlock()
	l.answer = answer
}

func (l *treeLeafs) MayOpenExtra(string) bool { return true }
func (l *treeLeafs) Warm([]leafhttp.Target)   {}

// Check reports that the leaf's process is alive.
func (l *treeLeafs) Check(_ leafhttp.Target, _ bool, done leafhttp.OnChecked) { go done(false) }

// treeNode is one node of a tree.
type treeNode struct {
	t        *testing.T
	record   catalog.NodeRecord
	catalog  *catalog.Catalog
	gateway  *Gateway
	events   *recordedEvents
	leafs    *treeLeafs
	server   *servingtree.Server
	listener net.Listener
}

// tree is a fleet of nodes over ten services: the first five have leafs in the near and far zones, the others in the
// far and farther zones.
type tree struct {
	t        *testing.T
	attempts *attemptLog
	nodes    map[string]*treeNode
}

const (
	zoneNear    = "near"
	zoneFar     = "far"
	zoneFarther = "farther"

	regionWest  = "west"
	regionSouth = "south"
)

// nearShards is how many services have a leaf in the near zone.
const nearShards = 5

// treeObjective is longer than anything a test waits for.
const treeObjective = 2 * time.Second

// newTree starts a node for each record, and sets the address in the record.
func newTree(t *testing.T, nodes ...catalog.NodeRecord) *tree {
	t.Helper()
	tr := &tree{t: t, attempts: &attemptLog{queried: map[string][]string{}}, nodes: map[string]*treeNode{}}
	for index := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		nodes[index].Tree = listener.Addr().String()
		tr.nodes[nodes[index].ID] = &treeNode{t: t, record: nodes[index], listener: listener}
	}
	for _, node := range tr.nodes {
		tr.start(node, nodes)
	}
	return tr
}

func (tr *tree) start(node *treeNode, nodes []catalog.NodeRecord) {
	node.catalog = catalog.New(func(key string, err error) { tr.t.Errorf("%s: %v", key, err) })
	node.catalog.EnableRollouts()
	node.events, node.leafs = &recordedEvents{}, &treeLeafs{node: node.record.ID, attempts: tr.attempts}
	var gathered []string
	for index := range shardCount {
		service := fmt.Sprintf("s%d", index)
		gathered = append(gathered, service)
		zones := []string{zoneNear, zoneFar}
		if index >= nearShards {
			zones = []string{zoneFar, zoneFarther}
		}
		for _, zone := range zones {
			id := service + zone
			put(tr.t, node.catalog, catalog.LeafKey(id), leafset.Record{Name: id, Service: service, Address: "127.0.0.1:1", Zone: zone, State: leafset.Ready})
		}
	}
	for _, peer := range nodes {
		put(tr.t, node.catalog, catalog.NodeKey(peer.ID), peer)
	}
	tr.putRoutes(node, 1, gathered)
	fleet := registry.NewFleet(node.catalog, node.record.ID, time.Minute)
	client := servingtree.NewClient(servingtree.DefaultConfig())
	tr.t.Cleanup(client.Close)
	node.gateway = New(Deps{
		Config: DefaultConfig(), Names: names, Catalog: node.catalog, Memory: leafmemory.New(leafmemory.DefaultConfig(), node.catalog),
		Allocator: connshare.New(connshare.DefaultConfig(), fleet, node.record),
		Balancer:  balancer.New(balancer.DefaultConfig(), node.record.Zone),
		Budgets:   treeBudgets(),
		Leafs:     node.leafs, Events: node.events, Self: node.record, Fleet: fleet, Intermediates: client,
		Regions: map[string]string{zoneNear: regionWest, zoneFar: regionWest, zoneFarther: regionSouth},
	})
	node.server = servingtree.NewServer(servingtree.DefaultConfig(), node.gateway)
	go node.server.Serve(node.listener)
}

func (tr *tree) putRoutes(node *treeNode, version int64, gathered []string, regions ...string) {
	put(tr.t, node.catalog, catalog.RoutesKey, routing.Configuration{Version: version, Routes: []routing.Route{{
		Name: "pages", Host: "h", Prefix: "/pages/", Gathered: gathered, TopRecords: 2 * shardCount, MinimumCoverage: 0.8,
		Repeatability: routing.Repeatable, MaximumAttempts: 2, TimeoutMillis: 60_000, ObjectiveMillis: treeObjective.Milliseconds(),
		Regions: regions,
	}}})
}

func (tr *tree) serve(node string) (*Answer, error) {
	request := newRequest("/pages/1")
	request.CallerTimeout = 0
	return tr.nodes[node].gateway.Serve(tr.t.Context(), request)
}

// requireComplete fails the test unless the answer has each part once, with its records.
func (tr *tree) requireComplete(answer *Answer, err error) {
	tr.t.Helper()
	is := is.New(tr.t)
	is.NoErr(err)
	is.Equal(answer.Missing, 0)
	tr.requireConsistent(answer)
}

// requireConsistent fails the test unless the answer's records are exactly the records of its parts.
func (tr *tree) requireConsistent(answer *Answer) {
	tr.t.Helper()
	is := is.New(tr.t)
	var services, fromStamps, inBody []string
	for _, stamp := range answer.Stamps {
		leaf := strings.TrimSpace(strings.TrimPrefix(stamp, "stamp-"))
		services = append(services, leaf[:2])
		fromStamps = append(fromStamps, leaf)
	}
	for part := range slices.Chunk(answer.Body, recordBytes) {
		inBody = append(inBody, strings.TrimSpace(string(part)))
	}
	slices.Sort(services)
	is.Equal(len(slices.Compact(services)), len(answer.Stamps)) // no service has two parts
	slices.Sort(fromStamps)
	slices.Sort(inBody)
	is.Equal(inBody, fromStamps)
}

// outcomes returns the outcomes of the groups that a node sent to others.
func (tr *tree) outcomes(node string) []GroupOutcome {
	var outcomes []GroupOutcome
	for _, record := range tr.nodes[node].events.groupRecords() {
		outcomes = append(outcomes, record.Outcome)
	}
	return outcomes
}

func near(id string) catalog.NodeRecord { return catalog.NodeRecord{ID: id, Zone: zoneNear} }
func far(id string) catalog.NodeRecord  { return catalog.NodeRecord{ID: id, Zone: zoneFar} }

// treeBudgets returns budgets with an allowance for retries that is independent of requests. A root has no other budget
// for the shards that its intermediates gather.
func treeBudgets() *retrybudget.Budgets {
	cfg := retrybudget.Config{Ratio: 0, Window: 20 * time.Millisecond, Allowance: 20, UsedFraction: 1}
	budgets := retrybudget.New(cfg, func(string) float64 { return 1 })
	for budgets.FreeFraction("any") == 0 {
		time.Sleep(time.Millisecond) // a new node has no allowance for one window
	}
	return budgets
}

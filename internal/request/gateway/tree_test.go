package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// The shards without a leaf in the root's zone are gathered by a node of another zone; the others are not.
func TestOtherZonesAreGatheredThere(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"))
	b.requireWhole(b.ask("root"))
	is.Equal(len(b.seen.by("root")), nearShards)
	for _, leaf := range b.seen.by("root") {
		is.True(strings.HasSuffix(leaf, zoneNear))
	}
	is.Equal(len(b.seen.by("there")), shardCount-nearShards)
	is.Equal(b.outcomes("root"), []GroupOutcome{GroupAnswered})
	record := b.nodes["there"].events.records[0]
	is.Equal(record.Root, "root")
	is.Equal(record.RequestID, "r")
	is.Equal(b.nodes["root"].events.records[0].Groups[0].Intermediate, "there")
}

// A node with far fewer processors than others of its zone has them gather; one with as many does not.
func TestSmallNodesLetLargeOnesGather(t *testing.T) {
	is := is.New(t)
	small, large := near("small"), near("large")
	small.Processors, large.Processors = 0.2, 0.8
	b := newTree(t, small, large, far("there"))
	b.requireWhole(b.ask("small"))
	is.Equal(len(b.seen.by("small")), 0)
	is.Equal(len(b.seen.by("large")), nearShards)
	b.requireWhole(b.ask("large"))
	is.Equal(len(b.seen.by("small")), 0)
	is.Equal(len(b.seen.by("large")), 2*nearShards)
}

// Without the serving tree every node asks every leaf itself.
func TestTreeCanBeSwitchedOff(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"))
	b.nodes["root"].gateway.root = nil
	b.requireWhole(b.ask("root"))
	is.Equal(len(b.seen.by("root")), shardCount)
	is.Equal(len(b.seen.by("there")), 0)
}

// failureMode makes an intermediate return nothing, with the outcome that its root sees.
type failureMode struct {
	fail    func(node *treeNode)
	outcome GroupOutcome
}

func failureModes() map[string]failureMode {
	return map[string]failureMode{
		"dead":   {func(node *treeNode) { _ = node.listener.Close() }, GroupNeverSent},
		"frozen": {freeze, GroupSilent},
		"leaving": {func(node *treeNode) {
			node.server.PrepareStop()
		}, GroupLeaving},
		"another table": {func(node *treeNode) {
			put(node.t, node.catalog, catalog.LeafKey("other"), leafset.Record{Name: "other", Service: "other", Address: "127.0.0.1:1", State: leafset.Ready})
			put(node.t, node.catalog, catalog.RoutesKey, routing.Configuration{Version: 2})
		}, GroupDeclined},
		"busy": {func(node *treeNode) { node.gateway.config.MaximumGathered = 0 }, GroupDeclined},
		"dies at work": {func(node *treeNode) {
			node.leafs.setAnswer(func(string) (time.Duration, *leafhttp.Response, error) {
				node.stop()
				return time.Hour, nil, errors.New("dead")
			})
		}, GroupBroken},
	}
}

// However an intermediate fails before it answers, the root asks the leafs itself, and no part is in the answer twice.
func TestRootDoesWithoutItsIntermediate(t *testing.T) {
	for name, c := range failureModes() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTree(t, near("root"), far("there"))
			c.fail(b.nodes["there"])
			b.requireWhole(b.ask("root"))
			is.Equal(b.outcomes("root"), []GroupOutcome{c.outcome})
			is.Equal(len(b.seen.by("root")), shardCount)
			// It is paused for a while.
			b.requireWhole(b.ask("root"))
			is.Equal(len(b.outcomes("root")), 1)
		})
	}
}

// freeze has a node accept connections without reading them.
func freeze(node *treeNode) {
	address := node.listener.Addr().String()
	_ = node.listener.Close()
	frozen, err := net.Listen("tcp", address)
	if err != nil {
		node.t.Fatal(err)
	}
	node.t.Cleanup(func() { _ = frozen.Close() })
}

// stop shuts a node's server down at once.
func (n *treeNode) stop() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.server.Shutdown(ended)
}

// An intermediate that has acknowledged a group and then is silent may have made all attempts of the route: its shards are
// not asked again. One that has acknowledged nothing has made one attempt at most.
func TestSilenceAfterASignIsFinal(t *testing.T) {
	cases := map[string]struct {
		says    string
		isFinal bool
	}{"nothing": {"", false}, "a sign": {`{"v":1,"n":1,"accepted":true}` + "\n", true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTree(t, near("root"), far("there"))
			entry := &routing.Entry{Objective: 40 * time.Millisecond}
			e := &execution{gateway: b.nodes["root"].gateway, request: &routedRequest{route: entry, objective: time.Now().Add(entry.Objective)}}
			p := &groupCall{root: b.nodes["root"].gateway.root, execution: e, group: group{node: b.nodes["there"].record, shards: []int{5, 6}}}
			client := servingtree.NewClient(servingtree.DefaultConfig())
			t.Cleanup(client.Close)
			ended := p.await(t.Context(), client.Start(scriptedIntermediate(t, c.says), servingtree.Request{}), nil)
			is.Equal(ended.outcome, GroupSilent)
			is.Equal(ended.result.Final, c.isFinal)
			is.Equal(ended.result.Execution, scatter.Unknown)
		})
	}
}

// scriptedIntermediate starts an intermediate that answers the first line with a text, and then nothing.
func scriptedIntermediate(t *testing.T, text string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = connection.Close() })
		_, _ = connection.Read(make([]byte, 1))
		_, _ = connection.Write([]byte(text))
	}()
	return listener.Addr().String()
}

// An intermediate sends slow parts after those that have arrived by the objective, and the answer waits for them only if
// there are too few others.
func TestSlowPartsOfAGroup(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"))
	b.nodes["there"].leafs.setAnswer(func(leaf string) (time.Duration, *leafhttp.Response, error) {
		if strings.HasPrefix(leaf, "s9") {
			return time.Hour, nil, errors.New("dark")
		}
		return 0, answered(200, records(leaf)), nil
	})
	answer, err := b.ask("root")
	is.NoErr(err)
	is.Equal(answer.Missing, 1)
	b.requireConsistent(answer)

	// With three of ten parts missing the rest is waited for.
	b.nodes["there"].leafs.setAnswer(func(leaf string) (time.Duration, *leafhttp.Response, error) {
		if leaf[:2] >= "s7" {
			return treeObjective + treeObjective/4, answered(200, records(leaf)), nil
		}
		return 0, answered(200, records(leaf)), nil
	})
	answer, err = b.ask("root")
	is.NoErr(err)
	is.True(answer.Missing <= 2)
	b.requireConsistent(answer)
}

// A caller that leaves cancels the attempts of the intermediate.
func TestCallerThatLeavesEndsTheWorkOfIntermediates(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"))
	b.nodes["there"].leafs.setAnswer(func(string) (time.Duration, *leafhttp.Response, error) { return time.Hour, nil, nil })
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		for len(b.seen.by("there")) < shardCount-nearShards {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	request := newRequest("/pages/1")
	request.CallerTimeout = 0
	_, err := b.nodes["root"].gateway.Serve(ctx, request)
	is.Equal(failure.From(err).Code, failure.Cancelled)
	for b.seen.cancels() < shardCount-nearShards {
		time.Sleep(time.Millisecond)
	}
}

// An intermediate asks no other node for its group.
func TestThereIsOneLevel(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"), catalog.NodeRecord{ID: "farther", Zone: zoneFarther})
	for range 40 { // each draws one of the two nodes; that one is never drawn is then out of the question
		b.requireWhole(b.ask("root"))
	}
	is.Equal(len(b.outcomes("there")), 0)
	is.Equal(len(b.outcomes("farther")), 0)
	is.True(len(b.seen.by("there")) > 0)
	is.True(len(b.seen.by("farther")) > 0) // both zones have leafs of all shards that the root lacks
}

// An answer for other shards than the group's is not used.
func TestAnswerOfOtherShardsIsNone(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"))
	e := &execution{gateway: b.nodes["root"].gateway, request: &routedRequest{route: &routing.Entry{Objective: time.Second}}}
	p := &groupCall{root: b.nodes["root"].gateway.root, execution: e, group: group{shards: []int{5, 6}}}
	ended := p.classify(servingtree.Result{Reply: servingtree.Reply{Answer: &servingtree.Answer{Stamps: []string{"x"}}}}, 0)
	is.Equal(ended.outcome, GroupBroken)
}

// Groups that don't fit the table in force are declined.
func TestAsksThatDoNotFitAreDeclined(t *testing.T) {
	b := newTree(t, near("root"), far("there"))
	there := b.nodes["there"].gateway
	key := b.nodes["there"].catalog.View().Routes.Match("h", "/pages/1").GatherKey
	good := servingtree.Request{ID: "r", Method: http.MethodGet, Target: "/pages/1", Host: "h", GatherKey: key, Shards: []int{0}, Required: 1}
	bad := map[string]func(*servingtree.Request){
		"another route":  func(a *servingtree.Request) { a.GatherKey++ },
		"all spent":      func(a *servingtree.Request) { a.Spent = 2 },
		"negative spent": func(a *servingtree.Request) { a.Spent = -1 },
		"no route":       func(a *servingtree.Request) { a.Target = "/other/" },
		"no shards":      func(a *servingtree.Request) { a.Shards = nil },
		"unknown shard":  func(a *servingtree.Request) { a.Shards = []int{shardCount} },
		"negative":       func(a *servingtree.Request) { a.Shards = []int{-1} },
	}
	for name, change := range bad {
		queried := good
		change(&queried)
		if reply := there.Gather(t.Context(), queried, nil); reply.Decline != servingtree.OtherRoute {
			t.Errorf("%s: %+v", name, reply)
		}
	}
}

// A root classifies overload by the shards that it asks itself: its data on the others is old.
func TestOverloadIsClassifiedByTheShardsQueriedFromHere(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"), catalog.NodeRecord{ID: "farther", Zone: zoneFarther})
	g := b.nodes["root"].gateway
	for range 100 {
		g.latencies.of(gatheredKind+"2000 0", time.Second).observe(treeObjective / 5)
	}
	for index := range nearShards - 1 { // most of its own, fewer than half of all
		for _, zone := range []string{zoneNear, zoneFar} {
			chosen := g.balancer.Choose([]balancer.Candidate{{LeafID: fmt.Sprintf("s%d%s", index, zone), Zone: zone}}, nil)
			g.balancer.ReportLoad(chosen.Leaf, balancer.Load{InFlight: 40, Slots: 2})
		}
	}
	_, err := b.ask("root")
	is.True(failure.Is(err, failure.Overloaded))
	is.Equal(failure.From(err).Execution, failure.NotRun)
	is.Equal(len(b.seen.by("root")), 0)
	is.Equal(len(b.seen.by("there")), 0)
}

// A group that is planned but not begun, as of a request that is refused, is not counted as in flight at its node.
func TestGroupsThatNeverBeganCountAtNoNode(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"))
	g := b.nodes["root"].gateway
	entry := b.nodes["root"].catalog.View().Routes.Match("h", "/pages/1")
	for range 3 {
		is.Equal(len(g.root.groups(entry)), 1)
	}
	inFlight := func() int {
		g.root.nodes.mu.Lock()
		defer g.root.nodes.mu.Unlock()
		return g.root.nodes.node(b.nodes["there"].record.Tree).inFlight
	}
	is.Equal(inFlight(), 0)
	b.requireWhole(b.ask("root"))
	is.Equal(inFlight(), 0)
}

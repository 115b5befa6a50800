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

// Shards without a leaf in the root's zone are gathered by a node in another zone; the root queries the others.
func TestRemoteShardsAreGatheredInTheirZone(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"))
	tr.requireComplete(tr.serve("root"))
	is.Equal(len(tr.attempts.by("root")), nearShards)
	for _, leaf := range tr.attempts.by("root") {
		is.True(strings.HasSuffix(leaf, zoneNear))
	}
	is.Equal(len(tr.attempts.by("there")), shardCount-nearShards)
	is.Equal(tr.outcomes("root"), []GroupOutcome{GroupAnswered})
	record := tr.nodes["there"].events.records[0]
	is.Equal(record.Root, "root")
	is.Equal(record.RequestID, "r")
	is.Equal(tr.nodes["root"].events.records[0].Groups[0].Intermediate, "there")
}

// A node sends groups to nodes in its zone that have far more processors, but not to equal or smaller ones.
func TestSmallNodeSendsGroupsToLargeNode(t *testing.T) {
	is := is.New(t)
	small, large := near("small"), near("large")
	small.Processors, large.Processors = 0.2, 0.8
	tr := newTree(t, small, large, far("there"))
	tr.requireComplete(tr.serve("small"))
	is.Equal(len(tr.attempts.by("small")), 0)
	is.Equal(len(tr.attempts.by("large")), nearShards)
	tr.requireComplete(tr.serve("large"))
	is.Equal(len(tr.attempts.by("small")), 0)
	is.Equal(len(tr.attempts.by("large")), 2*nearShards)
}

// A gateway without a root sends no groups and queries all leafs itself.
func TestGatewayWithoutRootQueriesAllLeafs(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"))
	tr.nodes["root"].gateway.root = nil
	tr.requireComplete(tr.serve("root"))
	is.Equal(len(tr.attempts.by("root")), shardCount)
	is.Equal(len(tr.attempts.by("there")), 0)
}

// failureMode makes an intermediate return nothing; outcome is what its root observes.
type failureMode struct {
	fail    func(node *treeNode)
	outcome GroupOutcome
}

func failureModes() map[string]failureMode {
	return map[string]failureMode{
		"stopped": {func(node *treeNode) { _ = node.listener.Close() }, GroupNeverSent},
		"frozen":  {freeze, GroupSilent},
		"leaving": {func(node *treeNode) {
			node.server.DeclineNew()
		}, GroupStopping},
		"other routing table": {func(node *treeNode) {
			put(node.t, node.catalog, catalog.LeafKey("other"), leafset.Record{Name: "other", Service: "other", Address: "127.0.0.1:1", State: leafset.Ready})
			put(node.t, node.catalog, catalog.RoutesKey, routing.Configuration{Version: 2})
		}, GroupDeclined},
		"busy": {func(node *treeNode) { node.gateway.cfg.MaximumGathered = 0 }, GroupDeclined},
		"stops during the request": {func(node *treeNode) {
			node.leafs.setAnswer(func(string) (time.Duration, *leafhttp.Response, error) {
				node.stop()
				return time.Hour, nil, errors.New("stopped")
			})
		}, GroupBroken},
	}
}

// If the only intermediate fails before it answers, the root queries the leafs itself, and no part is in the answer
// twice.
func TestRootQueriesLeafsAfterIntermediateFails(t *testing.T) {
	for name, c := range failureModes() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := newTree(t, near("root"), far("there"))
			c.fail(tr.nodes["there"])
			tr.requireComplete(tr.serve("root"))
			is.Equal(tr.outcomes("root"), []GroupOutcome{c.outcome})
			is.Equal(len(tr.attempts.by("root")), shardCount)
			// The node is paused and receives no second group.
			tr.requireComplete(tr.serve("root"))
			is.Equal(len(tr.outcomes("root")), 1)
		})
	}
}

// freeze makes a node accept connections without reading from them.
func freeze(node *treeNode) {
	address := node.listener.Addr().String()
	_ = node.listener.Close()
	frozen, err := net.Listen("tcp", address)
	if err != nil {
		node.t.Fatal(err)
	}
	node.t.Cleanup(func() { _ = frozen.Close() })
}

// stop shuts down a node's server at once.
func (n *treeNode) stop() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.server.Shutdown(ended)
}

// An intermediate that acknowledges a group and then is silent may have made all attempts of the route, so its shards
// are not queried again. One that acknowledges nothing has made one attempt at most.
func TestSilenceAfterAcknowledgementIsFinal(t *testing.T) {
	cases := map[string]struct {
		reply   string
		isFinal bool
	}{"no reply": {"", false}, "acknowledgement": {`{"v":1,"n":1,"accepted":true}` + "\n", true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := newTree(t, near("root"), far("there"))
			entry := &routing.Entry{Objective: 40 * time.Millisecond}
			e := &execution{gateway: tr.nodes["root"].gateway, request: &routedRequest{route: entry, objective: time.Now().Add(entry.Objective)}}
			call := &groupCall{root: tr.nodes["root"].gateway.root, execution: e, group: group{node: tr.nodes["there"].record, shards: []int{5, 6}}}
			client := servingtree.NewClient(servingtree.DefaultConfig())
			t.Cleanup(client.Close)
			ended := call.await(t.Context(), client.Start(scriptedIntermediate(t, c.reply), servingtree.Request{}), nil)
			is.Equal(ended.outcome, GroupSilent)
			is.Equal(ended.result.Final, c.isFinal)
			is.Equal(ended.result.Execution, scatter.Unknown)
		})
	}
}

// scriptedIntermediate starts an intermediate that answers the first line with text and then sends nothing.
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

// An intermediate sends late parts after those that arrived by the objective, and the answer waits for them only if
// there are too few others.
func TestLatePartsOfGroup(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"))
	tr.nodes["there"].leafs.setAnswer(func(leaf string) (time.Duration, *leafhttp.Response, error) {
		if strings.HasPrefix(leaf, "s9") {
			return time.Hour, nil, errors.New("no answer")
		}
		return 0, answered(200, records(leaf)), nil
	})
	answer, err := tr.serve("root")
	is.NoErr(err)
	is.Equal(answer.Missing, 1)
	tr.requireConsistent(answer)

	// With three of ten parts missing, the answer waits for more.
	tr.nodes["there"].leafs.setAnswer(func(leaf string) (time.Duration, *leafhttp.Response, error) {
		if leaf[:2] >= "s7" {
			return treeObjective + treeObjective/4, answered(200, records(leaf)), nil
		}
		return 0, answered(200, records(leaf)), nil
	})
	answer, err = tr.serve("root")
	is.NoErr(err)
	is.True(answer.Missing <= 2)
	tr.requireConsistent(answer)
}

// If the caller cancels the request, the attempts of the intermediate are cancelled.
func TestCancellationReachesIntermediates(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"))
	tr.nodes["there"].leafs.setAnswer(func(string) (time.Duration, *leafhttp.Response, error) { return time.Hour, nil, nil })
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for len(tr.attempts.by("there")) < shardCount-nearShards {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	request := newRequest("/pages/1")
	request.CallerTimeout = 0
	_, err := tr.nodes["root"].gateway.Serve(ctx, request)
	is.Equal(failure.From(err).Code, failure.Cancelled)
	for tr.attempts.cancels() < shardCount-nearShards {
		time.Sleep(time.Millisecond)
	}
}

// An intermediate does not send its group to another node.
func TestIntermediateDoesNotForwardGroups(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"), catalog.NodeRecord{ID: "farther", Zone: zoneFarther})
	for range 40 { // each selects one of the two nodes at random
		tr.requireComplete(tr.serve("root"))
	}
	is.Equal(len(tr.outcomes("there")), 0)
	is.Equal(len(tr.outcomes("farther")), 0)
	is.True(len(tr.attempts.by("there")) > 0)
	is.True(len(tr.attempts.by("farther")) > 0) // both zones have leafs of all shards in the group
}

// An answer for other shards than the group's is not used.
func TestAnswerForOtherShardsIsRejected(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"))
	e := &execution{gateway: tr.nodes["root"].gateway, request: &routedRequest{route: &routing.Entry{Objective: time.Second}}}
	call := &groupCall{root: tr.nodes["root"].gateway.root, execution: e, group: group{shards: []int{5, 6}}}
	ended := call.classify(servingtree.Result{Reply: servingtree.Reply{Answer: &servingtree.Answer{Stamps: []string{"x"}}}}, 0)
	is.Equal(ended.outcome, GroupBroken)
}

// Groups that do not match the routing table in force are declined.
func TestMismatchedGroupsAreDeclined(t *testing.T) {
	tr := newTree(t, near("root"), far("there"))
	there := tr.nodes["there"].gateway
	key := tr.nodes["there"].catalog.View().Routes.Match("h", "/pages/1").GatherKey
	good := servingtree.Request{ID: "r", Method: http.MethodGet, Target: "/pages/1", Host: "h", GatherKey: key, Shards: []int{0}, Required: 1}
	bad := map[string]func(*servingtree.Request){
		"another route":  func(r *servingtree.Request) { r.GatherKey++ },
		"all spent":      func(r *servingtree.Request) { r.Spent = 2 },
		"negative spent": func(r *servingtree.Request) { r.Spent = -1 },
		"no route":       func(r *servingtree.Request) { r.Target = "/other/" },
		"no shards":      func(r *servingtree.Request) { r.Shards = nil },
		"unknown shard":  func(r *servingtree.Request) { r.Shards = []int{shardCount} },
		"negative":       func(r *servingtree.Request) { r.Shards = []int{-1} },
	}
	for name, change := range bad {
		message := good
		change(&message)
		if reply := there.Gather(t.Context(), message, nil); reply.Decline != servingtree.OtherRoute {
			t.Errorf("%s: %+v", name, reply)
		}
	}
}

// A root detects overload from the shards that it queries itself, since its data on the others is old.
func TestRootDetectsOverloadFromItsOwnShards(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"), catalog.NodeRecord{ID: "farther", Zone: zoneFarther})
	g := tr.nodes["root"].gateway
	for range 100 {
		g.latencies.get(gatheredKind+"2000 0", time.Second).observe(treeObjective / 5)
	}
	for index := range nearShards - 1 { // most of the root's own shards, fewer than half of all
		for _, zone := range []string{zoneNear, zoneFar} {
			chosen := g.balancer.Choose([]balancer.Candidate{{LeafID: fmt.Sprintf("s%d%s", index, zone), Zone: zone}}, nil)
			g.balancer.ReportLoad(chosen.Leaf, balancer.Load{InFlight: 40, Slots: 2})
		}
	}
	_, err := tr.serve("root")
	is.True(failure.Is(err, failure.Overloaded))
	is.Equal(failure.From(err).Execution, failure.NotRun)
	is.Equal(len(tr.attempts.by("root")), 0)
	is.Equal(len(tr.attempts.by("there")), 0)
}

// A group that is planned but not sent, because its request is refused, does not count as in flight at its node.
func TestUnsentGroupsAreNotCountedAsInFlight(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"))
	g := tr.nodes["root"].gateway
	entry := tr.nodes["root"].catalog.View().Routes.Match("h", "/pages/1")
	for range 3 {
		is.Equal(len(g.root.groups(entry)), 1)
	}
	inFlight := func() int {
		g.root.nodes.mu.Lock()
		defer g.root.nodes.mu.Unlock()
		return g.root.nodes.node(tr.nodes["there"].record.Tree).inFlight
	}
	is.Equal(inFlight(), 0)
	tr.requireComplete(tr.serve("root"))
	is.Equal(inFlight(), 0)
}

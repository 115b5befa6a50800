package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// newThreeNodeTree starts a root and two nodes that can gather the services without a leaf in the root's zone.
func newThreeNodeTree(t *testing.T) *tree {
	return newTree(t, near("root"), far("first"), catalog.NodeRecord{ID: "second", Zone: zoneFarther})
}

// serveViaFirst sends requests to the root until it chooses the node "first", and returns the groups of that request.
func (tr *tree) serveViaFirst() []GroupRecord {
	tr.t.Helper()
	root := tr.nodes["root"]
	for range 100 {
		root.gateway.root.nodes = newNodeTracker()
		answer, err := tr.serve("root")
		root.events.mu.Lock()
		record := root.events.records[len(root.events.records)-1]
		root.events.mu.Unlock()
		if len(record.Groups) > 0 && record.Groups[0].Intermediate == "first" {
			tr.requireComplete(answer, err)
			return record.Groups
		}
	}
	tr.t.Fatal("the first node was never chosen")
	return nil
}

// If a node returns nothing for a group, the group is sent to another node. The root does not query the leafs, since it
// has no connections to them.
func TestFailedGroupIsSentToAnotherIntermediate(t *testing.T) {
	for name, c := range failureModes() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := newThreeNodeTree(t)
			c.fail(tr.nodes["first"])
			groups := tr.serveViaFirst()
			is.Equal(len(groups), 2)
			is.Equal(groups[0].Outcome, c.outcome)
			is.Equal(groups[1].Intermediate, "second")
			is.Equal(groups[1].Outcome, GroupAnswered)
			for _, leaf := range tr.attempts.by("root") {
				is.True(leaf[2:] == zoneNear)
			}
		})
	}
}

// Two silent nodes may have made both attempts of the route, so no leaf is queried a third time.
func TestTwoSilentIntermediatesSpendAllAttempts(t *testing.T) {
	is := is.New(t)
	tr := newThreeNodeTree(t)
	freeze(tr.nodes["first"])
	freeze(tr.nodes["second"])
	_, err := tr.serve("root")
	is.True(failure.Is(err, failure.IncompleteCoverage))
	is.Equal(failure.From(err).Execution, failure.Ran)
	is.Equal(tr.outcomes("root"), []GroupOutcome{GroupSilent, GroupSilent})
	is.Equal(len(tr.attempts.by("root")), nearShards)
}

// If the second node refuses a group as not run, the group may still have run at the first.
func TestNotRunAfterSilenceStaysUnknown(t *testing.T) {
	is := is.New(t)
	tr := newThreeNodeTree(t)
	entry := &routing.Entry{Attempts: 2}
	call := &groupCall{root: tr.nodes["root"].gateway.root, execution: &execution{request: &routedRequest{route: entry}, services: make([]string, 2)}, group: group{shards: []int{0, 1}}}
	silent := call.withSpent(groupEnd{outcome: GroupSilent}.result)
	is.Equal(silent.Spent, 1)
	is.True(!silent.Final)
	refused := call.classifyReply(servingtree.Reply{Failure: &servingtree.Failure{Code: failure.Overloaded, Execution: failure.NotRun}})
	is.Equal(call.withSpent(refused.result).Execution.String(), "unknown")
}

// An intermediate with another version of the routing table gathers a group if its route gathers the same way, and
// declines it otherwise.
func TestIntermediateWithOtherRoutingTable(t *testing.T) {
	cases := map[string]struct {
		change  func(route *routing.Route)
		outcome GroupOutcome
	}{
		"other timeout":  {func(route *routing.Route) { route.TimeoutMillis /= 2 }, GroupAnswered},
		"other services": {func(route *routing.Route) { slices.Reverse(route.Gathered) }, GroupDeclined},
		"other records":  {func(route *routing.Route) { route.TopRecords++ }, GroupDeclined},
		"other attempts": {func(route *routing.Route) { route.MaximumAttempts++ }, GroupDeclined},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := newTree(t, near("root"), far("there"))
			there := tr.nodes["there"]
			configuration := routing.Configuration{Version: 2, Routes: slices.Clone(there.catalog.View().Routes.Routes)}
			configuration.Routes[0].Gathered = slices.Clone(configuration.Routes[0].Gathered)
			c.change(&configuration.Routes[0])
			put(t, there.catalog, catalog.RoutesKey, configuration)
			tr.requireComplete(tr.serve("root"))
			is.Equal(tr.outcomes("root"), []GroupOutcome{c.outcome})
		})
	}
}

// The first group of a root allows for the round trip, although none has been measured yet.
func TestFirstGroupAllowsForRoundTrip(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"))
	g := tr.nodes["root"].gateway
	planned := time.Now().Add(time.Second)
	entry := &routing.Entry{Objective: time.Second}
	e := &execution{gateway: g, services: make([]string, 2), request: &routedRequest{Request: newRequest("/pages/1"), route: entry, answerBy: planned}}
	message := e.groupRequest(group{shards: []int{0, 1}}, 0)
	is.True(message.ObjectiveMicros <= (time.Second - initialRoundTrip).Microseconds())
}

// Package gateway serves callers' requests by the routing table. A single request goes to one leaf of a service; a
// gathered request goes to one leaf of each of many services, and the greatest records of all parts make the answer.
//
// The steps of a request, in order, with the file of each:
//
//	request.go     find the route and take the request's fingerprint
//	deadlines.go   set the objective and the deadline: when a partial answer is sent and when the request is given up
//	               (caller_timeouts.go, lag.go: the estimates; suspension.go: after a suspension of the machine)
//	quarantine.go  watch for a quarantine of the request; probe suspects one leaf at a time
//	root.go        choose the shards that other nodes gather, and those nodes (placement.go, node_tracker.go)
//	execution.go   run the steps below
//	refuse.go      refuse what can't be served, before any attempt is made: every reason, in order
//	plan.go        describe the attempts to package scatter, which makes them
//	candidates.go  list the leafs of a shard that may be asked (canary.go: which version, zones.go: which zones)
//	policy.go      allow hedges and retries (latency.go: the latencies they depend on)
//	attempt.go     ask one leaf and classify its answer (crash.go: find out whether the leaf crashed)
//	group_call.go  ask another node for a group of shards (group_reply.go: wait for its reply and classify it)
//	answer.go      merge the parts (merge.go), pass a leaf's answer on, or say why there is none
//	events.go      report the decisions
//
// [Gateway.Serve] does this for a caller. [Gateway.Gather], in intermediate.go, does it for another node that asks
// for a group of shards; it never passes them on to a third node.
//
// A Gateway owns the executions in flight and what it learns from them: latencies, callers' timeouts, its own lag,
// and the state of the nodes that it asks. It starts one goroutine for each group call and runs nothing else in the
// background but KeepWarm. It relies on the catalog for routes and leafs, on package balancer to choose among leafs, on
// package scatter for the order of attempts, and on LeafCaller and Intermediates to send them. Its errors are
// *failure.Failure. It is the counterpart of package search for back ends whose records are opaque.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/connshare"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafmemory"
	"github.com/portgauge/portgauge/internal/leaf/warmup"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/request/httpnames"
	"github.com/portgauge/portgauge/internal/request/retrybudget"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/rollout/canary"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// LeafCaller sends attempts to leafs; leafhttp.Pool implements it.
type LeafCaller interface {
	// Start begins an attempt without blocking; see leafhttp.Pool.
	Start(target leafhttp.Target, request *leafhttp.Request, deadline time.Time, done leafhttp.Done) context.CancelCauseFunc
	// MayOpenExtra reports whether an extra connection may be opened to a leaf that this node has no share of.
	MayOpenExtra(leafID string) bool
	// Warm opens a connection to the first of the targets, unless there is one to any of them.
	Warm(targets []leafhttp.Target)
	// Check reports whether a leaf's process has ended, after an answer from it broke off; see leafhttp.Pool.
	Check(target leafhttp.Target, refused bool, done leafhttp.OnChecked)
}

// Deps are the dependencies of a Gateway.
type Deps struct {
	Config    Config
	Names     httpnames.Names // of the headers of leafs' answers
	Catalog   *catalog.Catalog
	Memory    *leafmemory.Memory
	Allocator *connshare.Allocator
	Balancer  *balancer.Balancer
	Budgets   *retrybudget.Budgets
	Leafs     LeafCaller
	// Warmup limits the requests to cold leafs; nil means no limit.
	Warmup *warmup.Limiter
	// Canary decides which requests go to canary versions; nil means none.
	Canary *canary.Splitter
	// Evidence counts the answers of canary versions; nil means that nothing is counted.
	Evidence *evidence.Collector
	Events   EventLog
	// Self is this node's own record.
	Self catalog.NodeRecord
	// Regions maps zones to regions; a zone that is missing belongs to no region.
	Regions map[string]string
	// Fleet and Intermediates let other nodes gather groups of shards; if either is nil, this node asks every leaf
	// itself.
	Fleet         Fleet
	Intermediates Intermediates
	// Zones reports which zones are reachable; nil means that all are.
	Zones *reachability.Tracker
	// Quarantine keeps the requests that crash leafs; nil means that none is quarantined.
	Quarantine *quarantine.Register
}

// Gateway serves requests by the routing table; it is safe for concurrent use.
type Gateway struct {
	config     Config
	names      httpnames.Names
	catalog    *catalog.Catalog
	memory     *leafmemory.Memory
	allocator  *connshare.Allocator
	balancer   *balancer.Balancer
	budgets    *retrybudget.Budgets
	leafs      LeafCaller
	warmup     *warmup.Limiter
	canary     *canary.Splitter
	evidence   *evidence.Collector
	events     EventLog
	regions    map[string]string // by zone
	zones      *reachability.Tracker
	quarantine *quarantine.Register

	inFlight  inFlight
	latencies *latencyTable
	timeouts  *callerTimeouts
	shares    *routing.Shares
	lag       lagTracker
	root      *root // nil if no other node is asked to gather
	// gathered counts the groups that this node is gathering for others.
	gathered atomic.Int64
}

// New returns a gateway.
func New(deps Deps) *Gateway {
	g := &Gateway{
		config: deps.Config, names: deps.Names, catalog: deps.Catalog, memory: deps.Memory, allocator: deps.Allocator, balancer: deps.Balancer,
		budgets: deps.Budgets, leafs: deps.Leafs, warmup: deps.Warmup, canary: deps.Canary, evidence: deps.Evidence,
		events: deps.Events, regions: deps.Regions, zones: deps.Zones, quarantine: deps.Quarantine,
		latencies: newLatencyTable(deps.Config.LatencyWindow), timeouts: newCallerTimeouts(), shares: routing.NewShares(),
	}
	if deps.Config.ServingTree && deps.Fleet != nil && deps.Intermediates != nil {
		g.root = newRoot(deps)
	}
	return g
}

// Limits returns the limits on callers' requests in force.
func (g *Gateway) Limits() routing.Limits {
	if table := g.catalog.View().Routes; table != nil {
		return table.Limits
	}
	return routing.Limits{}
}

// Serve answers one request. Its errors are *failure.Failure.
func (g *Gateway) Serve(ctx context.Context, request *Request) (*Answer, error) {
	routed, err := g.routeRequest(request)
	if err != nil {
		g.events.Refused(request, err)
		return nil, err
	}
	e := &execution{gateway: g, request: routed, services: g.chooseServices(routed.route)}
	ctx, release := e.watch(ctx)
	defer release()
	if err := e.refuseQuarantined(); err != nil {
		g.events.Refused(request, err)
		return nil, err
	}
	// A suspect is probed one leaf at a time, which only the root of the request can do.
	if g.root != nil && e.isGathered() && e.quarantineState() == quarantine.Clear {
		e.assignGroups(e.chooseGroups())
	}
	answer, err := e.run(ctx)
	e.observeLag()
	g.events.Served(e.record(answer, err))
	return answer, err
}

// chooseServices returns the services of a route whose leafs are asked: all that it gathers, the one whose turn it is
// among weighted ones, or its only one.
func (g *Gateway) chooseServices(route *routing.Entry) []string {
	switch {
	case len(route.Gathered) > 0:
		return route.Gathered
	case len(route.Weighted) > 0:
		return []string{route.Weighted[g.shares.Next(route)].Service}
	}
	return []string{route.Service}
}

// Package gateway serves callers' requests by the routing table. A single request goes to one leaf of a service. A
// gathered request goes to one leaf of each of many services, and the answer consists of the greatest records of all
// parts.
//
// A request passes through these steps, in this order:
//
//	request.go     find the route and compute the request's fingerprint
//	deadlines.go   set the objective, when a partial answer is sent, and the deadline, when the request times out
//	               (caller_timeouts.go, lag.go: the estimates; suspension.go: after a suspension of the machine)
//	quarantine.go  watch for a quarantine of the request; probe suspect requests one leaf at a time
//	root.go        choose the shards that other nodes gather, and those nodes (placement.go, node_tracker.go)
//	execution.go   run the steps below
//	refuse.go      refuse what cannot be served, before any attempt is made: all reasons, in order
//	plan.go        describe the attempts to package scatter, which makes them
//	candidates.go  list the leafs of a shard that may be queried (canary.go: which version, zones.go: which zones)
//	policy.go      allow hedges and retries (latency.go: the latencies they depend on)
//	attempt.go     query one leaf and classify its answer (crash.go: find out whether the leaf crashed)
//	group_call.go  send a group of shards to another node (group_reply.go: wait for its reply and classify it)
//	answer.go      merge the parts (merge.go), pass on a leaf's answer, or return the failure
//	events.go      report attempts and the outcome
//
// [Gateway.Serve] runs these steps for a caller. [Gateway.Gather], in intermediate.go, runs them for another node that
// requests a group of shards; it never forwards the group to a third node.
//
// A Gateway owns the executions in flight and what it learns from them: latencies, callers' timeouts, its own lag, and
// the state of the nodes that it sends groups to. It starts one goroutine per group call; its only other background
// task is KeepWarm. It takes routes and leafs from the catalog, uses package balancer to choose among leafs and package
// scatter to schedule the attempts, and sends them through LeafCaller and Intermediates. Its errors are
// *failure.Failure. Package search is its counterpart for back ends whose records are not opaque.
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
	// MayOpenExtra reports whether an extra connection may be opened to a leaf to which this node is allotted none.
	MayOpenExtra(leafID string) bool
	// Warm opens a connection to the first of the targets, unless a connection to any of them is open.
	Warm(targets []leafhttp.Target)
	// Check reports whether a leaf's process has exited, after an answer from it broke off; see leafhttp.Pool.
	Check(target leafhttp.Target, wasReset bool, done leafhttp.OnChecked)
}

type Deps struct {
	Config    Config
	Names     httpnames.Names // headers of leafs' answers
	Catalog   *catalog.Catalog
	Memory    *leafmemory.Memory
	Allocator *connshare.Allocator
	Balancer  *balancer.Balancer
	Budgets   *retrybudget.Budgets
	Leafs     LeafCaller
	// Warmup limits the rate of requests to cold leafs; nil means no limit.
	Warmup *warmup.Limiter
	// Canary decides which requests go to canary versions; nil means that none do.
	Canary *canary.Splitter
	// Evidence counts the outcomes of attempts at canary versions; nil means that nothing is counted.
	Evidence *evidence.Collector
	Events   EventLog
	// Self is this node's own record.
	Self catalog.NodeRecord
	// Regions maps zones to regions; a zone without an entry belongs to no region.
	Regions map[string]string
	// Fleet and Intermediates let other nodes gather groups of shards; if either is nil, this node queries every leaf
	// itself.
	Fleet         Fleet
	Intermediates Intermediates
	// Zones reports which zones are reachable; nil means that all are.
	Zones *reachability.Tracker
	// Quarantine holds the requests that crash leafs; nil means that no request is quarantined.
	Quarantine *quarantine.Register
}

// Gateway serves requests by the routing table. It is safe for concurrent use.
type Gateway struct {
	cfg        Config
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
	selector  *routing.WeightedSelector
	lag       delayEstimator
	root      *root // nil if no groups are sent to other nodes
	// groupsInFlight counts the groups that this node is gathering for other nodes.
	groupsInFlight atomic.Int64
}

func New(deps Deps) *Gateway {
	g := &Gateway{
		cfg: deps.Config, names: deps.Names, catalog: deps.Catalog, memory: deps.Memory, allocator: deps.Allocator, balancer: deps.Balancer,
		budgets: deps.Budgets, leafs: deps.Leafs, warmup: deps.Warmup, canary: deps.Canary, evidence: deps.Evidence,
		events: deps.Events, regions: deps.Regions, zones: deps.Zones, quarantine: deps.Quarantine,
		latencies: newLatencyTable(deps.Config.LatencyWindow), timeouts: newCallerTimeouts(), selector: routing.NewWeightedSelector(),
	}
	if deps.Config.ServingTree && deps.Fleet != nil && deps.Intermediates != nil {
		g.root = newRoot(deps)
	}
	return g
}

// Limits returns the limits on callers' requests that are in force.
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
	ctx, release := e.track(ctx)
	defer release()
	if err := e.refuseQuarantined(); err != nil {
		g.events.Refused(request, err)
		return nil, err
	}
	// Only the root of a suspect request can probe it one leaf at a time, so groups are sent for clear requests only.
	if g.root != nil && e.isGathered() && e.quarantineState() == quarantine.Clear {
		e.assignGroups(e.chooseGroups())
	}
	answer, err := e.run(ctx)
	e.observeLag()
	g.events.Served(e.record(answer, err))
	return answer, err
}

// chooseServices returns the services of a route whose leafs are queried: all services that it gathers, the next one by
// weight, or its only one.
func (g *Gateway) chooseServices(route *routing.Entry) []string {
	switch {
	case len(route.Gathered) > 0:
		return route.Gathered
	case len(route.Weighted) > 0:
		return []string{route.Weighted[g.selector.Next(route)].Service}
	}
	return []string{route.Service}
}

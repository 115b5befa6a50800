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

// notReadyRetryAfter is what callers of a node without routes are told.
const notReadyRetryAfter = 600 * time.Millisecond

// LeafCaller starts attempts at leafs; leafhttp.Pool is the real one.
type LeafCaller interface {
	// Start begins an attempt without blocking; see leafhttp.Pool.
	Start(target leafhttp.Target, request *leafhttp.Request, deadline time.Time, done leafhttp.Done) context.CancelCauseFunc
	// CanSpare reports whether a leaf that other nodes were dealt may be asked.
	CanSpare(incarnation string) bool
	// Warm opens a connection to the first of some leafs, unless there is one to any.
	Warm(targets []leafhttp.Target)
	// Check finds out whether a leaf's process has ended, after an answer of it broke off; see leafhttp.Pool.
	Check(target leafhttp.Target, refused bool, tell leafhttp.Ended)
}

// Deps are what a gateway is built from.
type Deps struct {
	Config   Config
	Dialect  httpnames.Names
	Catalog  *catalog.Catalog
	Memory   *leafmemory.Memory
	Dealer   *connshare.Dealer
	Balancer *balancer.Balancer
	Budgets  *retrybudget.Budgets
	Leafs    LeafCaller
	// Warmup says which cold leafs this node may ask; nil means all.
	Warmup *warmup.Limiter
	// Canary says which requests go to versions on trial; nil means that none do.
	Canary *canary.Splitter
	// Evidence counts how versions on trial answer; nil means that nothing is counted.
	Evidence *evidence.Collector
	Events   EventLog
	// Self is this node's own record.
	Self catalog.NodeRecord
	// Regions gives the region of each zone; a zone that it lacks is in none.
	Regions map[string]string
	// Fleet and Intermediates let other nodes gather; nil means that this one does it all itself.
	Fleet         Fleet
	Intermediates Intermediates
	// Zones knows which zones are in reach; nil holds all for so.
	Zones *reachability.Tracker
	// Quarantine knows the requests that end leafs; nil knows none.
	Quarantine *quarantine.Register
}

// Gateway serves requests by the routing table; safe for concurrent use.
type Gateway struct {
	config   Config
	dialect  httpnames.Names
	catalog  *catalog.Catalog
	memory   *leafmemory.Memory
	dealer   *connshare.Dealer
	balancer *balancer.Balancer
	budgets  *retrybudget.Budgets
	leafs    LeafCaller
	warmup   *warmup.Limiter
	canary   *canary.Splitter
	evidence *evidence.Collector
	events   EventLog
	regions  map[string]string // by zone
	zones    *reachability.Tracker

	quarantine *quarantine.Register
	inFlight   inFlight

	latencies *latencyTable
	timeouts  *callerTimeouts
	shares    *routing.Shares
	lag       lagTracker
	root      *root // nil where no other node is asked to gather
	// gathered counts the groups that are being gathered for other nodes.
	gathered atomic.Int64
}

// New makes a gateway.
func New(deps Deps) *Gateway {
	g := &Gateway{
		config: deps.Config, dialect: deps.Dialect, catalog: deps.Catalog, memory: deps.Memory, dealer: deps.Dealer, balancer: deps.Balancer,
		budgets: deps.Budgets, leafs: deps.Leafs, warmup: deps.Warmup, canary: deps.Canary, evidence: deps.Evidence,
		events: deps.Events, regions: deps.Regions, zones: deps.Zones, quarantine: deps.Quarantine,
		latencies: newLatencyTable(deps.Config.LatencyWindow), timeouts: newCallerTimeouts(), shares: routing.NewShares(),
	}
	if deps.Config.ServingTree && deps.Fleet != nil && deps.Intermediates != nil {
		g.root = newRoot(deps)
	}
	return g
}

// Ready reports whether there are routes to serve by, and no other zone is the better place for callers.
func (g *Gateway) Ready() bool { return g.catalog.View().Routes != nil && !g.isBetterServedElsewhere() }

// Limits gives the limits of callers in force.
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
	work := &execution{gateway: g, request: routed, services: g.servicesOf(routed)}
	ctx, release := work.watch(ctx)
	defer release()
	if err := work.refuseQuarantined(); err != nil {
		g.events.Refused(request, err)
		return nil, err
	}
	// A suspect goes to one leaf first: no other node is asked to send it to more.
	if g.root != nil && work.isGathered() && work.quarantineState() == quarantine.Clear {
		work.assignGroups(work.groupsOf(routed.route))
	}
	answer, err := work.run(ctx)
	work.observeLag()
	g.events.Served(routed.record(work, answer, err))
	return answer, err
}

// servicesOf gives the services whose leafs are asked.
func (g *Gateway) servicesOf(routed *routedRequest) []string {
	entry := routed.route
	switch {
	case len(entry.Gathered) > 0:
		return entry.Gathered
	case len(entry.Weighted) > 0:
		return []string{entry.Weighted[g.shares.Next(entry)].Service}
	}
	return []string{entry.Service}
}

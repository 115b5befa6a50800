// Package search runs searches over key ranges: admit, pin a snapshot, plan, scatter, verify, merge, report.
//
// Each step has its own file or package. A search is pinned to one manifest: all of its attempts, hedges and retries
// name that snapshot, so an answer never mixes versions.
//
// An Engine owns the gates (package admission) and policies (package hedging) of the services on one node, and counts
// the searches in flight. It uses the catalog for services, snapshots and leafs, package scatter for attempts, package
// balancer to select leafs, and package quarantine for searches that crash leafs. Deadlines use the runtime's clock.
// All errors are *failure.Failure.
package search

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/request/admission"
	"github.com/portgauge/portgauge/internal/request/hedging"
)

// Engine runs the searches of one node. It is safe for concurrent use.
type Engine struct {
	cfg      Config
	hedging  hedging.Config
	catalog  *catalog.Catalog
	balancer *balancer.Balancer
	leafs    LeafCaller
	metrics  *telemetry.Metrics
	logger   *zap.Logger
	// quarantine tracks crashing requests; it may be nil.
	quarantine *quarantine.Register

	ready      atomic.Bool
	isStopping atomic.Bool // a planned stop has begun, but searches are still accepted
	draining   atomic.Bool

	// mu guards running and the maps, but not the values of the maps.
	mu       sync.Mutex
	gates    map[string]*admission.Gate
	policies map[string]*hedging.Policy
	running  int
	idle     chan struct{} // closed when the engine drains and no search is in flight
}

// Deps are the dependencies of an Engine.
type Deps struct {
	Config   Config
	Hedging  hedging.Config
	Catalog  *catalog.Catalog
	Balancer *balancer.Balancer
	Leafs    LeafCaller
	Metrics  *telemetry.Metrics
	Logger   *zap.Logger
	// Quarantine tracks crashing requests; it may be nil.
	Quarantine *quarantine.Register
}

// New returns an engine that refuses searches until SetReady is called.
func New(deps Deps) *Engine {
	return &Engine{
		cfg:        deps.Config,
		hedging:    deps.Hedging,
		catalog:    deps.Catalog,
		balancer:   deps.Balancer,
		leafs:      deps.Leafs,
		metrics:    deps.Metrics,
		logger:     deps.Logger,
		quarantine: deps.Quarantine,
		gates:      map[string]*admission.Gate{},
		policies:   map[string]*hedging.Policy{},
		idle:       make(chan struct{}),
	}
}

// Search runs one search. Its errors are *failure.Failure. The caller must call Acquire first, and release once the
// answer is sent.
func (e *Engine) Search(ctx context.Context, request *searchv1.SearchRequest) (*searchv1.SearchResponse, error) {
	arrived := time.Now()
	held := &memorybudget.Hold{}
	defer held.Release()
	response, err := e.search(memorybudget.NewContext(ctx, held), request, arrived)
	e.observe(request, response, err, time.Since(arrived))
	return response, err
}

func (e *Engine) search(ctx context.Context, request *searchv1.SearchRequest, arrived time.Time) (*searchv1.SearchResponse, error) {
	service, err := e.service(request.GetService())
	if err != nil {
		return nil, err
	}
	query, err := newQuery(e.cfg, request, service.Spec, arrived)
	if err != nil {
		return nil, err
	}
	ticket, err := e.gate(service.Spec).Enter(ctx, query.deadline)
	if err != nil {
		return nil, err
	}
	ctx, release, err := e.track(ctx, query)
	if err != nil {
		ticket.Done(false)
		return nil, err
	}
	defer release()
	answer, congested, err := e.answer(ctx, query)
	if congested && e.reduceLessUrgentLimits(service.Spec) {
		congested = false
	}
	ticket.Done(congested)
	return answer, err
}

// reduceLessUrgentLimits reduces, after a congested search of a service, the limits of all less urgent services with
// searches in flight. It reports whether there was any; if so, the more urgent service keeps its own limit.
func (e *Engine) reduceLessUrgentLimits(spec *adminv1.ServiceSpec) bool {
	isReduced := false
	for name, other := range e.catalog.View().Services {
		if other.Spec == nil || other.Spec.GetUrgency() <= spec.GetUrgency() {
			continue
		}
		e.mu.Lock()
		gate, found := e.gates[name]
		e.mu.Unlock()
		if found && gate.Usage().Running > 0 {
			gate.ReduceLimit()
			isReduced = true
		}
	}
	return isReduced
}

// gate returns the service's gate, with the limits of spec.
func (e *Engine) gate(spec *adminv1.ServiceSpec) *admission.Gate {
	limits := admission.Limits{Concurrency: int(spec.GetConcurrencyLimit()), Queue: int(spec.GetQueueLimit())}
	e.mu.Lock()
	gate, found := e.gates[spec.GetName()]
	if !found {
		gate = admission.NewGate(limits)
		e.gates[spec.GetName()] = gate
	}
	e.mu.Unlock()
	gate.SetLimits(limits)
	return gate
}

// policy returns the service's hedge and retry policy, with the hedge budget of spec.
func (e *Engine) policy(spec *adminv1.ServiceSpec) *hedging.Policy {
	e.mu.Lock()
	defer e.mu.Unlock()
	policy, found := e.policies[spec.GetName()]
	if !found {
		policy = hedging.NewPolicy(e.hedging, spec.GetHedge().GetBudgetPerMille())
		e.policies[spec.GetName()] = policy
		return policy
	}
	policy.SetHedgeBudget(spec.GetHedge().GetBudgetPerMille())
	return policy
}

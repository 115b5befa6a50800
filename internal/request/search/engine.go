// Package search runs searches: admit, pin a snapshot, plan, scatter, verify, merge, report.
//
// Each step is a file or package of its own. A query is pinned to one manifest: all of its
// attempts, hedges and retries name that snapshot, so an answer never mixes versions.
package search

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/request/admission"
	"github.com/portgauge/portgauge/internal/request/hedging"
)

// drainRetryAfter is what callers of a stopping node are told; by then the machine list and
// the other nodes know.
const drainRetryAfter = 50 * time.Millisecond

// notReadyRetryAfter is what callers of a node without configuration are told.
const notReadyRetryAfter = time.Second

// Engine answers searches on one node. It is safe for concurrent use.
type Engine struct {
	config   Config
	hedging  hedging.Config
	catalog  *catalog.Catalog
	balancer *balancer.Balancer
	leafs    LeafCaller
	metrics  *telemetry.Metrics
	logger   *zap.Logger
	// quarantine knows the requests that end leafs; nil knows none.
	quarantine *quarantine.Register

	ready     atomic.Bool
	announced atomic.Bool // a planned stop is under way, but searches are still taken
	draining  atomic.Bool

	// mutex guards the maps and running; the values guard themselves.
	mutex    sync.Mutex
	gates    map[string]*admission.Gate
	policies map[string]*hedging.Policy
	running  int
	idle     chan struct{} // closed when draining and nothing runs
}

// Deps are what an engine is built from.
type Deps struct {
	Config   Config
	Hedging  hedging.Config
	Catalog  *catalog.Catalog
	Balancer *balancer.Balancer
	Leafs    LeafCaller
	Metrics  *telemetry.Metrics
	Logger   *zap.Logger
	// Quarantine knows the requests that end leafs; nil knows none.
	Quarantine *quarantine.Register
}

// New makes an engine that is not ready yet.
func New(deps Deps) *Engine {
	return &Engine{
		config:     deps.Config,
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

// SetReady lets searches in, once configuration is in force.
func (e *Engine) SetReady() { e.ready.Store(true) }

// Ready reports whether callers should send searches here.
func (e *Engine) Ready() bool {
	return e.ready.Load() && !e.announced.Load() && !e.draining.Load()
}

// Announce makes the node look not ready while it still takes searches, so that callers and
// load balancers turn to others before any search is refused.
func (e *Engine) Announce() { e.announced.Store(true) }

// Draining reports whether a planned stop has begun.
func (e *Engine) Draining() bool { return e.draining.Load() }

// Drain refuses new searches and waits until those in flight have ended or the context has.
func (e *Engine) Drain(ctx context.Context) error {
	e.mutex.Lock()
	if !e.draining.Swap(true) && e.running == 0 {
		close(e.idle)
	}
	e.mutex.Unlock()
	select {
	case <-e.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enter counts a search in; false when the node refuses new ones.
func (e *Engine) enter() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.draining.Load() {
		return failure.New(failure.Draining, failure.NotRun, "the node is stopping; ask another").WithRetryAfter(drainRetryAfter)
	}
	if !e.ready.Load() {
		return failure.New(failure.NotReady, failure.NotRun, "the node has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	e.running++
	return nil
}

func (e *Engine) leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running--
	if e.draining.Load() && e.running == 0 {
		close(e.idle)
	}
}

// Search answers one request. Its errors are *failure.Failure. The count of searches in
// flight includes the time the caller takes to send the answer: see Hold.
func (e *Engine) Search(ctx context.Context, request *searchv1.SearchRequest) (*searchv1.SearchResponse, error) {
	arrived := time.Now()
	response, err := e.search(ctx, request, arrived)
	e.observe(request, response, err, time.Since(arrived))
	return response, err
}

// Hold keeps the node from closing until release is called; a handler holds while it sends.
func (e *Engine) Hold() (release func(), err error) {
	if err := e.enter(); err != nil {
		return nil, err
	}
	return e.leave, nil
}

func (e *Engine) search(ctx context.Context, request *searchv1.SearchRequest, arrived time.Time) (*searchv1.SearchResponse, error) {
	service, err := e.service(request.GetService())
	if err != nil {
		return nil, err
	}
	query, err := newQuery(e.config, request, service.Spec, arrived)
	if err != nil {
		return nil, err
	}
	ticket, err := e.gate(service.Spec).Enter(ctx, query.deadline)
	if err != nil {
		return nil, err
	}
	ctx, release, err := e.guard(ctx, query)
	if err != nil {
		ticket.Done(false)
		return nil, err
	}
	defer release()
	answer, congested, err := e.answer(ctx, query)
	if congested && e.yieldTo(service.Spec) {
		congested = false
	}
	ticket.Done(congested)
	return answer, err
}

// yieldTo lowers the limits of less urgent services that are running, and reports whether
// there was one; then the more urgent service keeps its own.
func (e *Engine) yieldTo(spec *adminv1.ServiceSpec) bool {
	yielded := false
	for name, other := range e.catalog.View().Services {
		if other.Spec == nil || other.Spec.GetUrgency() <= spec.GetUrgency() {
			continue
		}
		e.mutex.Lock()
		gate, found := e.gates[name]
		e.mutex.Unlock()
		if found && gate.Usage().Running > 0 {
			gate.Congested()
			yielded = true
		}
	}
	return yielded
}

// service pins the configuration and snapshot in force for a query.
func (e *Engine) service(name string) (*catalog.Service, error) {
	service, found := e.catalog.View().Services[name]
	if !found || service.Spec == nil {
		return nil, failure.New(failure.UnknownService, failure.NotRun, "no service %q", name)
	}
	if service.Manifest == nil {
		return nil, failure.New(failure.NoSnapshot, failure.NotRun, "service %q has no published snapshot", name).WithRetryAfter(notReadyRetryAfter)
	}
	return service, nil
}

// answer plans and scatters, and does so again on a newer snapshot when leafs no longer
// hold the pinned one, as long as the request may repeat and has time.
func (e *Engine) answer(ctx context.Context, query *query) (*searchv1.SearchResponse, bool, error) {
	var extra searchv1.ExtraLoad
	ran, maybeRan, congested := false, false, false
	for replans := 0; ; replans++ {
		service, err := e.service(query.service)
		if err != nil {
			return nil, congested, failedAfter(err, executionOf(ran, maybeRan))
		}
		work := newKeyScatter(e, query, service, e.policy(service.Spec), service.Manifest.Plan(query.asked))
		outcomes := work.run(ctx)
		addExtraLoad(&extra, work.extraLoad())
		ran, maybeRan = ran || work.summary.Ran, maybeRan || work.summary.MaybeRan
		congested = congested || work.congested()
		if work.snapshotGone() && e.mayReplan(query, service, replans, ran || maybeRan) {
			continue
		}
		merged := merge(query.asked, outcomes, query.limit, e.config.MaximumAnswerBytes)
		response := e.report(query, service, &merged, &extra)
		return response, congested, e.failureOf(ctx, query, &merged, response, executionOf(ran, maybeRan))
	}
}

// mayReplan says whether a query can start over on a newer snapshot than the given one.
func (e *Engine) mayReplan(query *query, pinned *catalog.Service, replans int, ran bool) bool {
	if replans >= e.config.ReplanLimit || (query.atMostOnce && ran) {
		return false
	}
	if time.Until(query.deadline) < e.config.MinimumDeadline {
		return false
	}
	newest, found := e.catalog.View().Services[query.service]
	return found && newest.Manifest != nil && newest.SnapshotRevision > pinned.SnapshotRevision
}

// failureOf turns an answer that its caller can't use into a typed failure: incomplete when
// full coverage was demanded, or nothing covered at all.
func (e *Engine) failureOf(ctx context.Context, query *query, merged *page, response *searchv1.SearchResponse, execution failure.ExecutionState) error {
	if errors.Is(context.Cause(ctx), errQuarantined) {
		return quarantined(query.content(), execution)
	}
	if ctx.Err() != nil {
		return failure.New(failure.Cancelled, execution, "the caller went away")
	}
	if merged.complete() {
		return nil
	}
	if len(merged.covered) > 0 && !query.wantsFull {
		return nil
	}
	failed := failure.New(failureCode(merged, query), execution, "%d ranges are missing, first %q: %s",
		len(merged.missing), merged.missing[0].keys.From, merged.missing[0].reason)
	failed.Coverage = response.GetReport().GetCoverage()
	failed.RetryAfter = e.retryAfter(merged)
	return failed
}

// failureCode names the cause when nothing at all was covered.
func failureCode(merged *page, query *query) failure.Code {
	if len(merged.covered) > 0 {
		return failure.IncompleteCoverage
	}
	allShed, allLate := true, true
	for _, part := range merged.missing {
		allShed = allShed && (part.reason == missingShed || part.reason == missingReason(balancer.ReplicasFull))
		allLate = allLate && part.reason == missingDeadline
		if part.reason == missingNotRepeated {
			return failure.NotRepeatable
		}
	}
	switch {
	case allShed:
		return failure.Overloaded
	case allLate && !query.atMostOnce:
		return failure.DeadlineExceeded
	}
	return failure.IncompleteCoverage
}

// retryAfterMissing is when a query with missing ranges may be asked again.
const retryAfterMissing = 200 * time.Millisecond

// retryAfter is zero when asking again can't help: the request has run already.
func (e *Engine) retryAfter(merged *page) time.Duration {
	for _, part := range merged.missing {
		if part.reason == missingNotRepeated {
			return 0
		}
	}
	return retryAfterMissing
}

func (e *Engine) report(query *query, service *catalog.Service, merged *page, extra *searchv1.ExtraLoad) *searchv1.SearchResponse {
	return &searchv1.SearchResponse{
		Rows: merged.rows,
		Report: &searchv1.Report{
			RequestId:       query.id,
			SnapshotId:      service.Manifest.SnapshotID,
			Coverage:        merged.coverage(),
			NextKey:         merged.nextKey,
			ConfigRevision:  e.catalog.Revision(),
			ConfigAgeMillis: e.catalog.Age().Milliseconds(),
			ExtraLoad:       extra,
		},
	}
}

func addExtraLoad(total, more *searchv1.ExtraLoad) {
	total.Attempts += more.GetAttempts()
	total.Hedges += more.GetHedges()
	total.Retries += more.GetRetries()
	total.Cancelled += more.GetCancelled()
}

// gate gives the service's gate with the limits in force.
func (e *Engine) gate(spec *adminv1.ServiceSpec) *admission.Gate {
	limits := admission.Limits{Concurrency: int(spec.GetConcurrencyLimit()), Queue: int(spec.GetQueueLimit())}
	e.mutex.Lock()
	gate, found := e.gates[spec.GetName()]
	if !found {
		gate = admission.NewGate(limits)
		e.gates[spec.GetName()] = gate
	}
	e.mutex.Unlock()
	gate.SetLimits(limits)
	return gate
}

// policy gives the service's hedge and retry policy with the budget in force.
func (e *Engine) policy(spec *adminv1.ServiceSpec) *hedging.Policy {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	policy, found := e.policies[spec.GetName()]
	if !found {
		policy = hedging.NewPolicy(e.hedging, spec.GetHedge().GetBudgetPerMille())
		e.policies[spec.GetName()] = policy
		return policy
	}
	policy.SetHedgeBudget(spec.GetHedge().GetBudgetPerMille())
	return policy
}

// observe records the metrics and the debug log line of one search.
func (e *Engine) observe(request *searchv1.SearchRequest, response *searchv1.SearchResponse, err error, took time.Duration) {
	service, class := e.labels(request.GetService())
	e.metrics.QueryLatency.WithLabelValues(service, class).Observe(took.Seconds())
	if err != nil {
		failed := failure.From(err)
		e.metrics.Refusals.WithLabelValues(service, string(failed.Code), failed.Execution.String()).Inc()
		e.logger.Debug("search failed", zap.String("service", service), zap.String("request_id", request.GetRequestId()),
			zap.String("code", string(failed.Code)), zap.Stringer("execution", failed.Execution), zap.Duration("took", took))
		return
	}
	report := response.GetReport()
	e.metrics.QueryCoverage.WithLabelValues(service).Observe(report.GetCoverage().GetFraction())
	e.logger.Debug("search answered", zap.String("service", service), zap.String("request_id", report.GetRequestId()),
		zap.String("snapshot", report.GetSnapshotId()), zap.Int64("revision", report.GetConfigRevision()),
		zap.Float64("coverage", report.GetCoverage().GetFraction()), zap.Duration("took", took))
}

// unknownServiceLabel keeps callers from filling the metrics with made-up names.
const unknownServiceLabel = "unknown"

func (e *Engine) labels(name string) (service, class string) {
	known, found := e.catalog.View().Services[name]
	if !found || known.Spec == nil {
		return unknownServiceLabel, unknownServiceLabel
	}
	return name, known.Spec.GetUrgency().String()
}

package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/balancer"
	"github.com/portgauge/portgauge/internal/canary"
	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/connshare"
	"github.com/portgauge/portgauge/internal/evidence"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/httpdialect"
	"github.com/portgauge/portgauge/internal/leafhttp"
	"github.com/portgauge/portgauge/internal/leafmemory"
	"github.com/portgauge/portgauge/internal/reachability"
	"github.com/portgauge/portgauge/internal/retrybudget"
	"github.com/portgauge/portgauge/internal/routing"
	"github.com/portgauge/portgauge/internal/scatter"
	"github.com/portgauge/portgauge/internal/warmup"
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
}

// Parts are what a gateway is built from.
type Parts struct {
	Config   Config
	Dialect  httpdialect.Dialect
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
	Journal  Journal
	// Self is this node's own record.
	Self catalog.NodeRecord
	// Regions gives the region of each zone; a zone that it lacks is in none.
	Regions map[string]string
	// Fleet and Intermediates let other nodes gather; nil means that this one does it all itself.
	Fleet         Fleet
	Intermediates Intermediates
	// Zones knows which zones are in reach; nil holds all for so.
	Zones *reachability.Tracker
}

// Gateway serves requests by the routing table; safe for concurrent use.
type Gateway struct {
	config   Config
	dialect  httpdialect.Dialect
	catalog  *catalog.Catalog
	memory   *leafmemory.Memory
	dealer   *connshare.Dealer
	balancer *balancer.Balancer
	budgets  *retrybudget.Budgets
	leafs    LeafCaller
	warmup   *warmup.Limiter
	canary   *canary.Splitter
	evidence *evidence.Collector
	journal  Journal
	regions  map[string]string // by zone
	zones    *reachability.Tracker

	latencies *latencyBook
	patience  *patienceBook
	shares    *routing.Shares
	lag       lagTracker
	root      *root // nil where no other node is asked to gather
	// gathered counts the groups that are being gathered for other nodes.
	gathered atomic.Int64
}

// New makes a gateway.
func New(parts Parts) *Gateway {
	g := &Gateway{
		config: parts.Config, dialect: parts.Dialect, catalog: parts.Catalog, memory: parts.Memory, dealer: parts.Dealer, balancer: parts.Balancer,
		budgets: parts.Budgets, leafs: parts.Leafs, warmup: parts.Warmup, canary: parts.Canary, evidence: parts.Evidence,
		journal: parts.Journal, regions: parts.Regions, zones: parts.Zones,
		latencies: newLatencyBook(parts.Config.LatencyWindow), patience: newPatienceBook(), shares: routing.NewShares(),
	}
	if parts.Config.ServingTree && parts.Fleet != nil && parts.Intermediates != nil {
		g.root = newRoot(parts)
	}
	return g
}

// Ready reports whether there are routes to serve by, and no other zone is the better place for callers.
func (g *Gateway) Ready() bool { return g.catalog.View().Routes != nil && !g.isStranded() }

// Limits gives the limits of callers in force.
func (g *Gateway) Limits() routing.Limits {
	if table := g.catalog.View().Routes; table != nil {
		return table.Limits
	}
	return routing.Limits{}
}

// Serve answers one request. Its errors are *failure.Failure.
func (g *Gateway) Serve(ctx context.Context, request *Request) (*Answer, error) {
	pinned, err := g.newQuery(request)
	if err != nil {
		g.journal.Refused(request, err)
		return nil, err
	}
	work := &gathering{gateway: g, query: pinned, services: g.servicesOf(pinned)}
	if g.root != nil && work.isGathered() {
		work.passOn(g.root.groups(pinned.entry))
	}
	answer, err := work.serve(ctx)
	work.learnLag()
	g.journal.Served(pinned.record(work, answer, err))
	return answer, err
}

// servicesOf gives the services whose leafs are asked.
func (g *Gateway) servicesOf(pinned *query) []string {
	entry := pinned.entry
	switch {
	case len(entry.Gathered) > 0:
		return entry.Gathered
	case len(entry.Weighted) > 0:
		return []string{entry.Weighted[g.shares.Next(entry)].Service}
	}
	return []string{entry.Service}
}

// gathering is the work on one request: one shard for each service.
type gathering struct {
	gateway  *Gateway
	query    *query
	services []string
	// groups are the services that other nodes gather.
	groups []group
	// passedOn says by shard whether it is in a group; nil where there is none.
	passedOn []bool
	// targets are the leafs that may be asked, by shard.
	targets [][]target
	// draws say which versions first attempts go to, by shard; nil until the first is drawn.
	draws []shardDraw
	// gatheredLatency is that of all shards of a gathered request; nil until it is looked up.
	gatheredLatency *kindLatency
	summary         scatter.Summary
	// spent is how many attempts another node may have made at each shard.
	spent int
	// collected takes the parts as they come; nil unless this is a group for another node.
	collected *collected
	outcomes  []scatter.Outcome[leafhttp.Response]

	// mu guards the rest, which attempts and groups set as they end.
	mu          sync.Mutex
	lastFailure *leafhttp.Response
	groupsEnded []GroupRecord
	// refusal is that of a node that all of the request was passed on to.
	refusal error
}

// learnLag compares when an answer was made with when it was planned, where only the plan decided
// it: enough parts were in before.
func (w *gathering) learnLag() {
	enoughAt := w.summary.SufficientAt
	if w.isGathered() && !enoughAt.IsZero() && w.summary.SoftDeadlined && enoughAt.Before(w.query.planned) {
		w.gateway.lag.observe(time.Since(w.query.planned))
	}
}

func (w *gathering) isGathered() bool { return len(w.query.entry.Gathered) > 0 }

func (w *gathering) serve(ctx context.Context) (*Answer, error) {
	w.countRequests()
	if err := w.refuseWithoutLeafs(); err != nil {
		return nil, err
	}
	plan := w.plan()
	if err := w.refuse(plan); err != nil {
		w.returnDraws()
		return nil, err
	}
	w.drawFirst(&plan)
	work := scatter.New(plan, scatter.Parts[leafhttp.Response]{
		Balancer: w.gateway.balancer, Start: w.startAttempt, Observer: w, Superseded: leafhttp.ErrSuperseded,
		StartGroup: w.startGroup, Accepted: w.accepted(),
	})
	w.outcomes, w.summary = work.Run(ctx)
	if ctx.Err() != nil {
		return nil, failure.New(failure.Cancelled, w.execution(), "%s", w.whoLeft())
	}
	if w.isGathered() {
		return w.gatheredAnswer()
	}
	return w.singleAnswer()
}

// whoLeft says who does not wait for the answer any more.
func (w *gathering) whoLeft() string {
	if w.collected != nil {
		return "the root waits for no more parts"
	}
	return "the caller went away"
}

// countRequests counts the request for the services whose leafs are asked from here, unless another node
// may have counted it.
func (w *gathering) countRequests() {
	if w.spent > 0 {
		return
	}
	for index, service := range w.services {
		if !w.isPassedOn(index) {
			w.gateway.budgets.Request(service)
		}
	}
}

// accepted gives who is told of parts as they come.
func (w *gathering) accepted() func(shard int, reply *leafhttp.Response) {
	if w.collected == nil {
		return nil
	}
	return w.collected.add
}

func (w *gathering) plan() scatter.Plan {
	entry := w.query.entry
	w.query.Leaf.AtMostOnce = entry.Repeatability == routing.AtMostOnce
	plan := scatter.Plan{
		Shards:          make([]scatter.Shard, len(w.services)),
		Refresh:         w.candidates,
		Deadline:        w.query.deadline,
		Groups:          scatterGroups(w.groups),
		Sufficient:      max(1, w.query.required),
		AtMostOnce:      entry.Repeatability == routing.AtMostOnce,
		MaximumAttempts: entry.Attempts,
		MaximumRefusals: w.gateway.config.MaximumRefusals,
		ReplicaWait:     w.gateway.config.ReplicaWait,
	}
	if w.isGathered() && w.collected == nil {
		plan.SoftDeadline = w.query.planned
	}
	w.targets = make([][]target, len(w.services))
	policies := make([]shardPolicy, len(w.services))
	for index, service := range w.services {
		policies[index] = shardPolicy{
			config: &w.gateway.config, service: service, budgets: w.gateway.budgets,
			latency: w.latency(service), objective: w.query.planned,
		}
		plan.Shards[index] = scatter.Shard{
			Candidates: w.candidates(index),
			Policy:     &policies[index],
			Spent:      w.spent,
		}
	}
	return plan
}

// latency gives the latencies of this kind of request. The shards of a gathered route are
// alike, and are told apart from other routes by objective and priority.
func (w *gathering) latency(service string) *kindLatency {
	if w.isGathered() && w.gatheredLatency != nil {
		return w.gatheredLatency
	}
	entry := w.query.entry
	kind := service + " "
	if w.isGathered() {
		kind = gatheredKind
	}
	kind += strconv.FormatInt(entry.ObjectiveMillis, 10) + " " + strconv.Itoa(entry.Priority)
	latency := w.gateway.latencies.of(kind, entry.Objective/objectiveParts)
	if w.isGathered() {
		w.gatheredLatency = latency
	}
	return latency
}

// execution gives what is known of whether the request ran.
func (w *gathering) execution() failure.ExecutionState {
	switch w.summary.Execution() {
	case scatter.Ran:
		return failure.Ran
	case scatter.NotRun:
		return failure.NotRun
	case scatter.Unknown:
	}
	return failure.Unknown
}

// gatheredAnswer merges the parts that are in, if there are enough.
func (w *gathering) gatheredAnswer() (*Answer, error) {
	answer := &Answer{Status: http.StatusOK}
	bodies := make([][]byte, 0, len(w.outcomes))
	for _, outcome := range w.outcomes {
		if outcome.Reply == nil {
			answer.Missing++
			continue
		}
		answer.Stamps = append(answer.Stamps, outcome.Reply.Header.Get(w.gateway.dialect.ResponseStamp))
		bodies = append(bodies, outcome.Reply.Body)
	}
	if len(answer.Stamps) < max(1, w.query.required) {
		return nil, w.failed()
	}
	answer.Body = topRecords(bodies, w.query.entry.TopRecords)
	return answer, nil
}

// singleAnswer passes the leaf's answer on, or its last failure when there was no success.
func (w *gathering) singleAnswer() (*Answer, error) {
	reply := w.outcomes[0].Reply
	if reply == nil {
		w.mu.Lock()
		reply = w.lastFailure
		w.mu.Unlock()
	}
	if reply == nil {
		return nil, w.failed()
	}
	return &Answer{Status: reply.Status, Header: leafhttp.PassedOn(reply.Header), Body: reply.Body}, nil
}

// failed makes the typed failure of a request without an answer.
func (w *gathering) failed() error {
	execution := w.execution()
	if w.refusal != nil && execution == failure.NotRun {
		return w.refusal
	}
	reason := w.firstReason()
	code := failure.IncompleteCoverage
	switch {
	case execution == failure.NotRun:
		code = failure.Overloaded
	case reason == scatter.Deadline:
		code = failure.DeadlineExceeded
	case !w.isGathered():
		code = failure.LeafFailed
	}
	failed := failure.New(code, execution, "%d of %d shards are missing: %s", len(w.outcomes)-w.summary.Replies, len(w.outcomes), reason)
	if execution == failure.NotRun {
		failed = failed.WithRetryAfter(w.gateway.config.RetryAfter)
	}
	return failed
}

func (w *gathering) firstReason() scatter.Reason {
	for _, outcome := range w.outcomes {
		if outcome.Reply == nil {
			return outcome.Reason
		}
	}
	return ""
}

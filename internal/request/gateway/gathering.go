package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

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

	// cancel ends the work for a cause.
	cancel context.CancelCauseFunc
	// slept is for how many nanoseconds the machine was suspended since the request came.
	slept atomic.Int64
	// try is the request's place in the register of those that end leafs; nil where there is no register.
	try *quarantine.Execution
	// probes counts the attempts that were sent alone.
	probes int
	// mu guards the rest, which attempts and groups set as they end.
	mu          sync.Mutex
	lastFailure *leafhttp.Response
	groupsEnded []GroupRecord
	// ended are the leafs that ended under the request; looks are closed once those that broke off were looked at.
	ended []string
	looks []<-chan struct{}
	// refusal is that of a node that all of the request was passed on to.
	refusal error
}

// learnLag compares when an answer was made with when it was planned, where only the plan decided
// it: enough parts were in before.
func (w *gathering) learnLag() {
	enoughAt := w.summary.SufficientAt
	if w.isGathered() && !enoughAt.IsZero() && w.summary.EndedAtSoftDeadline && enoughAt.Before(w.query.planned) {
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
	work := scatter.New(plan, scatter.Deps[leafhttp.Response]{
		Balancer: w.gateway.balancer, Start: w.startAttempt, Observer: w, Superseded: leafhttp.ErrSuperseded,
		StartGroup: w.startGroup, OnReply: w.accepted(),
	})
	w.outcomes, w.summary = work.Run(ctx)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errQuarantined):
		return nil, w.quarantined(w.execution())
	case errors.Is(cause, errOverslept):
		return nil, failure.New(failure.DeadlineExceeded, w.execution(), "%s", errOverslept)
	}
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
			w.gateway.budgets.CountRequest(service)
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
	w.caution(&plan)
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

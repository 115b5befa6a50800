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

// execution is the work on one request: one shard for each service.
type execution struct {
	gateway  *Gateway
	request  *routedRequest
	services []string
	// groups are the services that other nodes gather.
	groups []group
	// inGroup says by shard whether it is in a group; nil where there is none.
	inGroup []bool
	// targets are the leafs that may be asked, by shard.
	targets [][]leafTarget
	// draws say which versions first attempts go to, by shard; nil until the first is drawn.
	canaryDraws []canaryDraw
	// gatheredLatency is that of all shards of a gathered request; nil until it is looked up.
	gatheredLatency *kindLatency
	summary         scatter.Summary
	// spent is how many attempts another node may have made at each shard.
	spentAttempts int
	// partial takes the parts as they come; nil unless this is a group for another node.
	partial  *partBuffer
	outcomes []scatter.Outcome[leafhttp.Response]

	// cancel ends the work for a cause.
	cancel context.CancelCauseFunc
	// slept is for how many nanoseconds the machine was suspended since the request came.
	slept atomic.Int64
	// try is the request's place in the register of those that end leafs; nil where there is no register.
	tracked *quarantine.Try
	// probes counts the attempts that were sent alone.
	probes int
	// mu guards the rest, which attempts and groups set as they end.
	mu          sync.Mutex
	lastFailure *leafhttp.Response
	groupsEnded []GroupRecord
	// ended are the leafs that ended under the request; looks are closed once those that broke off were looked at.
	crashedLeafs  []string
	processChecks []<-chan struct{}
	// refusal is that of a node that all of the request was passed on to.
	groupFailure error
}

// observeLag compares when an answer was made with when it was planned, where only the plan decided
// it: enough parts were in before.
func (e *execution) observeLag() {
	enoughAt := e.summary.SufficientAt
	if e.isGathered() && !enoughAt.IsZero() && e.summary.SoftDeadlined && enoughAt.Before(e.request.answerBy) {
		e.gateway.lag.observe(time.Since(e.request.answerBy))
	}
}

func (e *execution) isGathered() bool { return len(e.request.route.Gathered) > 0 }

func (e *execution) run(ctx context.Context) (*Answer, error) {
	e.countRequests()
	if err := e.refuseWithoutLeafs(); err != nil {
		return nil, err
	}
	plan := e.plan()
	if err := e.refuseOverloaded(plan); err != nil {
		e.returnDraws()
		return nil, err
	}
	e.drawFirst(&plan)
	work := scatter.New(plan, scatter.Deps[leafhttp.Response]{
		Balancer: e.gateway.balancer, Start: e.startAttempt, Observer: e, Superseded: leafhttp.ErrSuperseded,
		StartGroup: e.startGroup, Accepted: e.accepted(),
	})
	e.outcomes, e.summary = work.Run(ctx)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errQuarantined):
		return nil, e.quarantineFailure(e.executionState())
	case errors.Is(cause, errSuspended):
		return nil, failure.New(failure.DeadlineExceeded, e.executionState(), "%s", errSuspended)
	}
	if ctx.Err() != nil {
		return nil, failure.New(failure.Cancelled, e.executionState(), "%s", e.cancelledBy())
	}
	if e.isGathered() {
		return e.gatheredAnswer()
	}
	return e.singleAnswer()
}

// cancelledBy says who does not wait for the answer any more.
func (e *execution) cancelledBy() string {
	if e.partial != nil {
		return "the root waits for no more parts"
	}
	return "the caller went away"
}

// countRequests counts the request for the services whose leafs are asked from here, unless another node
// may have counted it.
func (e *execution) countRequests() {
	if e.spentAttempts > 0 {
		return
	}
	for index, service := range e.services {
		if !e.isInGroup(index) {
			e.gateway.budgets.Request(service)
		}
	}
}

// accepted gives who is told of parts as they come.
func (e *execution) accepted() func(shard int, reply *leafhttp.Response) {
	if e.partial == nil {
		return nil
	}
	return e.partial.add
}

func (e *execution) plan() scatter.Plan {
	entry := e.request.route
	e.request.Leaf.AtMostOnce = entry.Repeatability == routing.AtMostOnce
	plan := scatter.Plan{
		Shards:          make([]scatter.Shard, len(e.services)),
		Refresh:         e.candidates,
		Deadline:        e.request.deadline,
		Groups:          scatterGroups(e.groups),
		Sufficient:      max(1, e.request.requiredParts),
		AtMostOnce:      entry.Repeatability == routing.AtMostOnce,
		MaximumAttempts: entry.Attempts,
		MaximumRefusals: e.gateway.config.MaximumRefusals,
		ReplicaWait:     e.gateway.config.ReplicaWait,
	}
	if e.isGathered() && e.partial == nil {
		plan.SoftDeadline = e.request.answerBy
	}
	e.targets = make([][]leafTarget, len(e.services))
	policies := make([]shardPolicy, len(e.services))
	for index, service := range e.services {
		policies[index] = shardPolicy{
			config: &e.gateway.config, service: service, budgets: e.gateway.budgets,
			latency: e.latency(service), objective: e.request.answerBy,
		}
		plan.Shards[index] = scatter.Shard{
			Candidates: e.candidates(index),
			Policy:     &policies[index],
			Spent:      e.spentAttempts,
		}
	}
	e.caution(&plan)
	return plan
}

// latency gives the latencies of this kind of request. The shards of a gathered route are
// alike, and are told apart from other routes by objective and priority.
func (e *execution) latency(service string) *kindLatency {
	if e.isGathered() && e.gatheredLatency != nil {
		return e.gatheredLatency
	}
	entry := e.request.route
	kind := service + " "
	if e.isGathered() {
		kind = gatheredKind
	}
	kind += strconv.FormatInt(entry.ObjectiveMillis, 10) + " " + strconv.Itoa(entry.Priority)
	latency := e.gateway.latencies.of(kind, entry.Objective/initialMedianDivisor)
	if e.isGathered() {
		e.gatheredLatency = latency
	}
	return latency
}

// executionState returns what is known of whether the request ran.
func (e *execution) executionState() failure.ExecutionState {
	switch e.summary.Execution() {
	case scatter.Ran:
		return failure.Ran
	case scatter.NotRun:
		return failure.NotRun
	case scatter.Unknown:
	}
	return failure.Unknown
}

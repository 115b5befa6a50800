package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// execution is one run of a request at this node. If partial is set, it gathers a group for another node, the root of
// the request. It has one shard per service.
type execution struct {
	gateway  *Gateway
	request  *routedRequest
	services []string
	// groups are the sets of shards that other nodes gather.
	groups []group
	// inGroup reports whether a shard is in a group, by shard; nil if there are no groups.
	inGroup []bool
	// targets are the leafs that may be queried, by shard.
	targets [][]leafTarget
	// canaryDecisions are the decisions for first attempts, by shard; nil until the first is made.
	canaryDecisions []canaryDecision
	// gatheredLatency is the latency of all shards of a gathered request; nil until it is looked up.
	gatheredLatency *kindLatency
	// spentAttempts is how many attempts other nodes may have made per shard before this node received the group.
	spentAttempts int
	// partial buffers the parts for the root; nil unless this is a group for another node.
	partial *partBuffer

	// outcomes, by shard, and summary are set when all attempts have ended.
	outcomes []scatter.Outcome[leafhttp.Response]
	summary  scatter.Summary

	// cancel cancels the execution with a cause.
	cancel context.CancelCauseFunc
	// suspendedNanos is how long the machine has been suspended since the request arrived.
	suspendedNanos atomic.Int64
	// tracked is the request's entry in the quarantine register; nil if there is no register.
	tracked *quarantine.Execution
	// probes counts the attempts that were sent as probes.
	probes int

	// mu guards the fields below, which attempts and groups set as they end.
	mu          sync.Mutex
	lastFailure *leafhttp.Response // of a leaf, passed on if there is no success
	endedGroups []GroupRecord
	// crashedLeafs are the IDs of leafs that crashed during the request. Each of processChecks is closed when the check
	// of a leaf whose answer broke off has ended.
	crashedLeafs  []string
	processChecks []<-chan struct{}
	// groupFailure is the failure of a node that was sent all shards.
	groupFailure error
}

// run makes the attempts, unless the request is refused, and returns the answer.
func (e *execution) run(ctx context.Context) (*Answer, error) {
	e.countRequests()
	plan, err := e.admit()
	if err != nil {
		return nil, err
	}
	e.decideFirst(&plan)
	attempts := scatter.New(plan, scatter.Deps[leafhttp.Response]{
		Balancer: e.gateway.balancer, Start: e.startAttempt, Observer: e, Superseded: leafhttp.ErrSuperseded,
		StartGroup: e.startGroup, OnReply: e.onPart(),
	})
	e.outcomes, e.summary = attempts.Run(ctx)
	if err := e.earlyFailure(ctx); err != nil {
		return nil, err
	}
	if e.isGathered() {
		return e.gatheredAnswer()
	}
	return e.singleAnswer()
}

// earlyFailure returns the failure of an execution that was cancelled before its attempts determined the answer; nil if
// it was not.
func (e *execution) earlyFailure(ctx context.Context) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errQuarantined):
		return e.quarantineFailure(e.executionState())
	case errors.Is(cause, errSuspended):
		return failure.New(failure.DeadlineExceeded, e.executionState(), "%s", errSuspended)
	}
	if ctx.Err() != nil {
		return failure.New(failure.Cancelled, e.executionState(), "%s", e.cancelReason())
	}
	return nil
}

// cancelReason returns the message of the failure of a cancelled execution.
func (e *execution) cancelReason() string {
	if e.partial != nil {
		return "the root cancelled the group"
	}
	return "the request was cancelled: its caller closed the connection, or the node is stopping"
}

// countRequests counts the request in the retry budgets of the services whose leafs this node queries, unless another
// node may have counted it.
func (e *execution) countRequests() {
	if e.spentAttempts > 0 {
		return
	}
	for index, service := range e.services {
		if !e.isInGroup(index) {
			e.gateway.budgets.CountRequest(service)
		}
	}
}

// onPart returns the function that is called with each part as it arrives; nil if parts are only merged at the end.
func (e *execution) onPart() func(shard int, reply *leafhttp.Response) {
	if e.partial == nil {
		return nil
	}
	return e.partial.add
}

func (e *execution) isGathered() bool { return len(e.request.route.Gathered) > 0 }

func (e *execution) isAtMostOnce() bool { return e.request.route.Repeatability == routing.AtMostOnce }

// executionState returns whether any leaf ran the request, as far as is known.
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

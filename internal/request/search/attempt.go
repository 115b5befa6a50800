package search

import (
	"context"
	"errors"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafclient"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// LeafCaller runs one attempt at a leaf; leafclient.Pool implements it.
type LeafCaller interface {
	SearchShard(ctx context.Context, address string, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error)
	// HasExited reports whether no process listens on a leaf's address any more.
	HasExited(ctx context.Context, address string) bool
}

// runAttempt sends an attempt to its leaf and verifies the reply.
func (s *keyScatter) runAttempt(ctx context.Context, attempt scatter.Attempt) scatter.Result[shardReply] {
	if s.isStopped() {
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingLeafFailed), Execution: scatter.NotRun, Outcome: balancer.Cancelled, Final: true}
	}
	request := s.leafRequest(attempt)
	address := s.service.Leafs[attempt.Leaf.ID].GetAddress()
	response, err := s.engine.leafs.SearchShard(ctx, address, request)
	result := s.engine.classify(ctx, request, attempt.Leaf, response, err)
	return s.trackCrash(ctx, attempt, address, err, result)
}

// classify decides what the end of an attempt means: whether the reply is used, whether the leaf ran the attempt, and
// which outcome counts for the leaf. A reply that fails verification leaves the execution state unknown.
func (e *Engine) classify(ctx context.Context, request *leafv1.SearchShardRequest, leaf *balancer.Leaf, response *leafv1.SearchShardResponse, err error) scatter.Result[shardReply] {
	if err != nil {
		return e.classifyError(ctx, request, leaf, err)
	}
	reply, reason := verify(request, response)
	if reason != replyAccepted {
		e.metrics.DroppedReplies.WithLabelValues(request.GetService(), string(reason)).Inc()
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingLeafFailed), Execution: scatter.Unknown, Outcome: balancer.Failed}
	}
	e.reportLoad(leaf, response.GetLoad())
	load := response.GetLoad()
	return scatter.Result[shardReply]{Reply: &reply, Execution: scatter.Ran, Outcome: balancer.Succeeded, Queued: load.GetInFlight() > load.GetSlots()}
}

// classifyError classifies an attempt without a reply. Only an attempt that was never sent or that the leaf refused
// counts as not run.
func (e *Engine) classifyError(ctx context.Context, request *leafv1.SearchShardRequest, leaf *balancer.Leaf, err error) scatter.Result[shardReply] {
	var refusal *leafclient.Refusal
	if errors.As(err, &refusal) {
		return e.classifyRefusal(request, leaf, refusal.Detail)
	}
	var neverSent *leafclient.NeverSentError
	if errors.As(err, &neverSent) {
		outcome := balancer.Failed
		if errors.Is(ctx.Err(), context.Canceled) {
			outcome = balancer.Cancelled
		}
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingLeafFailed), Execution: scatter.NotRun, Outcome: outcome}
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingLeafFailed), Execution: scatter.Unknown, Outcome: balancer.Cancelled}
	case ctx.Err() != nil:
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingDeadline), Execution: scatter.Unknown, Outcome: balancer.Failed}
	}
	outcome := balancer.Failed
	if errors.As(err, new(*memorybudget.ExceededError)) {
		outcome = balancer.Declined // other leafs may hold the memory
	}
	return scatter.Result[shardReply]{Reason: scatter.Reason(missingLeafFailed), Execution: scatter.Unknown, Outcome: outcome}
}

// classifyRefusal classifies an attempt that the leaf refused. It did not run, unless the refusal has the identity of
// another attempt, gives an unknown reason, or says that the request ran before.
func (e *Engine) classifyRefusal(request *leafv1.SearchShardRequest, leaf *balancer.Leaf, refusal *leafv1.LeafRefusal) scatter.Result[shardReply] {
	if !sameIdentity(request.GetIdentity(), refusal.GetIdentity()) {
		e.metrics.DroppedReplies.WithLabelValues(request.GetService(), string(dropWrongIdentity)).Inc()
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingLeafFailed), Execution: scatter.Unknown, Outcome: balancer.Failed}
	}
	e.reportLoad(leaf, refusal.GetLoad())
	switch refusal.GetReason() {
	case leafv1.RefusalReason_REFUSAL_REASON_SHEDDING:
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingShed), Execution: scatter.NotRun, Outcome: balancer.Shed}
	case leafv1.RefusalReason_REFUSAL_REASON_DRAINING:
		return scatter.Result[shardReply]{Reason: scatter.Reason(balancer.NoReplica), Execution: scatter.NotRun, Outcome: balancer.Drained}
	case leafv1.RefusalReason_REFUSAL_REASON_SNAPSHOT_GONE:
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingSnapshotGone), Execution: scatter.NotRun, Outcome: balancer.Declined}
	case leafv1.RefusalReason_REFUSAL_REASON_TOO_LATE:
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingDeadline), Execution: scatter.NotRun, Outcome: balancer.Declined}
	case leafv1.RefusalReason_REFUSAL_REASON_DUPLICATE_EXECUTION:
		return scatter.Result[shardReply]{Reason: scatter.Reason(missingNotRepeated), Execution: scatter.Ran, Outcome: balancer.Declined}
	}
	return scatter.Result[shardReply]{Reason: scatter.Reason(missingLeafFailed), Execution: scatter.Unknown, Outcome: balancer.Failed}
}

// reportLoad passes the load that a leaf reported to the balancer.
func (e *Engine) reportLoad(leaf *balancer.Leaf, load *leafv1.LeafLoad) {
	if load == nil {
		return
	}
	e.balancer.ReportLoad(leaf, balancer.Load{InFlight: load.GetInFlight(), Slots: load.GetSlots(), Draining: load.GetDraining()})
}

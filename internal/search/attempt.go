package search

import (
	"context"
	"errors"
	"time"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	"github.com/portgauge/portgauge/internal/balancer"
	"github.com/portgauge/portgauge/internal/leafclient"
)

// attemptKind says why an attempt is made.
type attemptKind string

// The kinds of attempt.
const (
	firstAttempt attemptKind = "first"
	hedgeAttempt attemptKind = "hedge"
	retryAttempt attemptKind = "retry"
)

// execution is what is known of whether an attempt ran at its leaf.
type execution int

const (
	executionUnknown execution = iota
	executionNotRun
	executionRan
)

// attempt is one request to one leaf for one part of the plan.
type attempt struct {
	shard   int // index into the scatter's shards
	kind    attemptKind
	leaf    *balancer.Leaf
	address string
	request *leafv1.SearchShardRequest
	started time.Time
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	attempt   *attempt
	reply     *shardReply // set only for a verified reply
	reason    missingReason
	execution execution
	outcome   balancer.Outcome
	// queued says that the leaf had more attempts than slots, by its own word.
	queued bool
}

// LeafCaller runs one attempt at a leaf; leafclient.Pool is the real one.
type LeafCaller interface {
	SearchShard(ctx context.Context, address string, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error)
}

// runAttempt asks the leaf, verifies its reply and tells the balancer how it went.
func (e *Engine) runAttempt(ctx context.Context, attempt *attempt) attemptResult {
	response, err := e.leafs.SearchShard(ctx, attempt.address, attempt.request)
	took := time.Since(attempt.started)
	result := e.judge(ctx, attempt, response, err)
	result.attempt = attempt
	e.balancer.Finish(attempt.leaf, result.outcome, took)
	return result
}

func (e *Engine) judge(ctx context.Context, attempt *attempt, response *leafv1.SearchShardResponse, err error) attemptResult {
	if err != nil {
		return e.judgeError(ctx, attempt, err)
	}
	reply, reason := verify(attempt.request, response)
	if reason != replyAccepted {
		e.metrics.DroppedReplies.WithLabelValues(attempt.request.GetService(), string(reason)).Inc()
		return attemptResult{reason: missingLeafFailed, execution: executionUnknown, outcome: balancer.Failed}
	}
	e.reportLoad(attempt.leaf, response.GetLoad())
	load := response.GetLoad()
	return attemptResult{reply: &reply, execution: executionRan, outcome: balancer.Succeeded, queued: load.GetInFlight() > load.GetSlots()}
}

func (e *Engine) judgeError(ctx context.Context, attempt *attempt, err error) attemptResult {
	var refusal *leafclient.Refusal
	if errors.As(err, &refusal) {
		return e.judgeRefusal(attempt, refusal.Detail)
	}
	var neverSent *leafclient.NeverSentError
	if errors.As(err, &neverSent) {
		outcome := balancer.Failed
		if errors.Is(ctx.Err(), context.Canceled) {
			outcome = balancer.Abandoned
		}
		return attemptResult{reason: missingLeafFailed, execution: executionNotRun, outcome: outcome}
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return attemptResult{reason: missingLeafFailed, execution: executionUnknown, outcome: balancer.Abandoned}
	case ctx.Err() != nil:
		return attemptResult{reason: missingDeadline, execution: executionUnknown, outcome: balancer.Failed}
	}
	return attemptResult{reason: missingLeafFailed, execution: executionUnknown, outcome: balancer.Failed}
}

// judgeRefusal takes a leaf's word that it did not run the attempt, unless the refusal is
// for another attempt or says that the request ran before.
func (e *Engine) judgeRefusal(attempt *attempt, refusal *leafv1.LeafRefusal) attemptResult {
	if !sameIdentity(attempt.request.GetIdentity(), refusal.GetIdentity()) {
		e.metrics.DroppedReplies.WithLabelValues(attempt.request.GetService(), string(dropWrongIdentity)).Inc()
		return attemptResult{reason: missingLeafFailed, execution: executionUnknown, outcome: balancer.Failed}
	}
	e.reportLoad(attempt.leaf, refusal.GetLoad())
	switch refusal.GetReason() {
	case leafv1.RefusalReason_REFUSAL_REASON_SHEDDING:
		return attemptResult{reason: missingShed, execution: executionNotRun, outcome: balancer.Shed}
	case leafv1.RefusalReason_REFUSAL_REASON_DRAINING:
		return attemptResult{reason: missingReason(balancer.NoReplica), execution: executionNotRun, outcome: balancer.Drained}
	case leafv1.RefusalReason_REFUSAL_REASON_SNAPSHOT_GONE:
		return attemptResult{reason: missingSnapshotGone, execution: executionNotRun, outcome: balancer.Declined}
	case leafv1.RefusalReason_REFUSAL_REASON_TOO_LATE:
		return attemptResult{reason: missingDeadline, execution: executionNotRun, outcome: balancer.Declined}
	case leafv1.RefusalReason_REFUSAL_REASON_DUPLICATE_EXECUTION:
		return attemptResult{reason: missingNotRepeated, execution: executionRan, outcome: balancer.Declined}
	}
	return attemptResult{reason: missingLeafFailed, execution: executionUnknown, outcome: balancer.Failed}
}

func (e *Engine) reportLoad(leaf *balancer.Leaf, load *leafv1.LeafLoad) {
	if load == nil {
		return
	}
	e.balancer.Report(leaf, balancer.Load{InFlight: load.GetInFlight(), Slots: load.GetSlots(), Draining: load.GetDraining()})
}

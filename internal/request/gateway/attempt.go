package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// Reasons for a shard without a part, in addition to those of packages scatter and balancer.
const (
	// reasonGone means that the leaf is draining, or that another leaf has its address now.
	reasonGone scatter.Reason = "LEAF_GONE"
	// reasonNotSent means that no part of the attempt reached the leaf.
	reasonNotSent scatter.Reason = "NOT_SENT"
	// reasonBroken means that the connection ended before the complete answer arrived.
	reasonBroken scatter.Reason = "BROKEN_ANSWER"
	// reasonTooLarge means that a part of the answer exceeded its limit.
	reasonTooLarge scatter.Reason = "ANSWER_TOO_LARGE"
	// reasonNoMemory means that the answer didn't fit into the memory that leafs together may use.
	reasonNoMemory scatter.Reason = "MEMORY_EXCEEDED"
	// reasonConnectionReset means that the leaf reset a new connection, as it does above its connection limit.
	reasonConnectionReset scatter.Reason = "REFUSED_CONNECTION"
	// reasonLeafError means that the leaf ran the request and failed.
	reasonLeafError scatter.Reason = "LEAF_ERROR"
	// reasonUnsigned means that a success lacks the leaf's signature and may come from something else.
	reasonUnsigned scatter.Reason = "UNSIGNED_ANSWER"
	// reasonRefusedByLeaf means that the leaf refused the request as malformed.
	reasonRefusedByLeaf scatter.Reason = "REFUSED_BY_LEAF"
)

// attemptResult is the result of an attempt, as package scatter receives it.
type attemptResult = scatter.Result[leafhttp.Response]

// startAttempt queries one leaf; it implements scatter.Start.
func (e *execution) startAttempt(_ context.Context, attempt scatter.Attempt, done func(attemptResult)) context.CancelCauseFunc {
	if e.isStopped() {
		done(quarantinedResult())
		return func(error) {}
	}
	var isCancelled atomic.Bool
	target := e.target(attempt)
	leaf, probe := target.leaf, e.probeNumber(attempt)
	e.gateway.attemptStarted(leaf)
	cancel := e.gateway.leafs.Start(target.Target, &e.request.Leaf, e.deadline(), func(response *leafhttp.Response, err error) {
		e.gateway.attemptEnded(leaf)
		result := e.classifyEnd(attempt, response, err, isCancelled.Load())
		e.countEvidence(leaf, response, result, time.Since(attempt.Started))
		e.finishAttempt(attempt, target, probe, attemptEnd{response, result, err}, done)
	})
	return func(cause error) {
		isCancelled.Store(true)
		cancel(cause)
	}
}

func (e *execution) classifyEnd(attempt scatter.Attempt, response *leafhttp.Response, err error, isCancelled bool) attemptResult {
	if err != nil {
		return classifyError(isCancelled, err)
	}
	return e.classifyResponse(attempt, response)
}

// classifyResponse reports the leaf's load to the balancer and classifies the answer.
func (e *execution) classifyResponse(attempt scatter.Attempt, response *leafhttp.Response) attemptResult {
	if response.Load != nil {
		e.gateway.balancer.ReportLoad(attempt.Leaf, balancer.Load{
			InFlight: uint32(response.Load.Running + response.Load.Waiting), Slots: uint32(response.Load.Slots),
		})
	}
	return e.classify(response)
}

// classify decides whether an answer may be used, whether the leaf ran the request, and whether another leaf is
// queried:
//
//	not executed, see classifyRefusal  another leaf is queried
//	signed success                     used
//	unsigned success                   not used; the leaf may have run the request
//	status that promises "not run"     not used; it is not reliable without the "not executed" mark
//	other status below 500             passed on; no other leaf is queried, since it would answer the same
//	other status from 500              another leaf is queried; passed on if none succeeds
func (e *execution) classify(response *leafhttp.Response) attemptResult {
	if response.NotExecuted {
		return classifyRefusal(response)
	}
	signed := response.Header.Get(e.gateway.names.ResponseStamp) != ""
	isSuccess := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	switch {
	case isSuccess && signed:
		return attemptResult{Reply: response, Execution: scatter.Ran, Outcome: balancer.Succeeded}
	case isSuccess:
		return attemptResult{Reason: reasonUnsigned, Execution: scatter.Unknown, Outcome: balancer.Failed}
	}
	result := attemptResult{Reason: reasonLeafError, Execution: scatter.Ran, Outcome: balancer.Failed}
	if promisesNotRun(response.Status) {
		return result
	}
	e.keepFailure(response)
	if response.Status < http.StatusInternalServerError {
		result.Final, result.Outcome = true, balancer.Declined
	}
	return result
}

// promisesNotRun reports whether callers take a status as the promise that the request has not run and never will. A
// leaf that answers with such a status but without the "not executed" mark may have run the request. If the status were
// passed on, the caller would send the request again and it would run twice.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// keepFailure stores a leaf's own failure, which is passed on if no other leaf succeeds.
func (e *execution) keepFailure(response *leafhttp.Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastFailure = response
}

// classifyRefusal classifies an answer with the "not executed" mark. 421 means that the leaf is gone or draining, 400
// that any leaf would refuse the request, and any other status that the leaf sheds load.
func classifyRefusal(response *leafhttp.Response) attemptResult {
	result := attemptResult{Reason: scatter.Shed, Execution: scatter.NotRun, Outcome: balancer.Shed}
	switch response.Status {
	case http.StatusMisdirectedRequest:
		result.Reason, result.Outcome = reasonGone, balancer.Drained
	case http.StatusBadRequest:
		result.Reason, result.Outcome, result.Final = reasonRefusedByLeaf, balancer.Declined, true
	}
	return result
}

// classifyError classifies the error of an attempt without an answer.
func classifyError(isCancelled bool, err error) attemptResult {
	outcome := balancer.Failed
	if isCancelled {
		outcome = balancer.Cancelled
	}
	var neverSent *leafhttp.NeverSentError
	if errors.As(err, &neverSent) {
		return attemptResult{Reason: reasonNotSent, Execution: scatter.NotRun, Outcome: outcome, NeverArrived: true}
	}
	var connectionReset *leafhttp.ConnectionResetError
	if errors.As(err, &connectionReset) {
		return attemptResult{Reason: reasonConnectionReset, Execution: scatter.Unknown, Outcome: outcome, NeverArrived: true}
	}
	result := attemptResult{Reason: reasonBroken, Execution: scatter.Unknown, Outcome: outcome}
	var tooLarge *memorybudget.TooLargeError
	var exceeded *memorybudget.ExceededError
	switch {
	case errors.As(err, &tooLarge):
		result.Reason = reasonTooLarge
	case errors.As(err, &exceeded):
		result.Reason = reasonNoMemory
		if !isCancelled {
			result.Outcome = balancer.Declined // other leafs may hold the memory
		}
	}
	return result
}

// AttemptStarted implements scatter.Observer.
func (e *execution) AttemptStarted(attempt scatter.Attempt) {
	e.gateway.events.Attempted(e.services[attempt.Shard], attempt.Kind)
}

// AttemptEnded implements scatter.Observer.
func (e *execution) AttemptEnded(attempt scatter.Attempt, result attemptResult, took time.Duration) {
	e.gateway.observeZone(attempt.Leaf, result, took)
	e.gateway.events.AttemptEnded(AttemptRecord{
		RequestID: e.request.Leaf.ID, Service: e.services[attempt.Shard], Leaf: attempt.Leaf.ID, Kind: attempt.Kind,
		Reason: result.Reason, Execution: result.Execution, Took: took,
		Succeeded: result.Reply != nil, Cancelled: result.Outcome == balancer.Cancelled,
	})
}

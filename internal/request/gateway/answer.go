package gateway

import (
	"net/http"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// gatheredAnswer merges the parts that have arrived, if there are enough.
func (e *execution) gatheredAnswer() (*Answer, error) {
	answer := &Answer{Status: http.StatusOK}
	bodies := make([][]byte, 0, len(e.outcomes))
	for _, outcome := range e.outcomes {
		if outcome.Reply == nil {
			answer.Missing++
			continue
		}
		answer.Stamps = append(answer.Stamps, outcome.Reply.Header.Get(e.gateway.names.ResponseStamp))
		bodies = append(bodies, outcome.Reply.Body)
	}
	if len(answer.Stamps) < e.request.leastParts() {
		return nil, e.noAnswerFailure()
	}
	answer.Body = topRecords(bodies, e.request.route.TopRecords)
	return answer, nil
}

// singleAnswer passes on the leaf's success or, without a success, the last failure of a leaf.
func (e *execution) singleAnswer() (*Answer, error) {
	reply := e.outcomes[0].Reply
	if reply == nil {
		e.mu.Lock()
		reply = e.lastFailure
		e.mu.Unlock()
	}
	if reply == nil {
		return nil, e.noAnswerFailure()
	}
	return &Answer{Status: reply.Status, Header: leafhttp.ForwardedHeaders(reply.Header), Body: reply.Body}, nil
}

// noAnswerFailure returns the failure of a request without an answer. The first line that applies determines it:
//
//	failure of a group   an intermediate was sent all shards, and no leaf ran the request; its failure is passed on
//	LEAFS_ENDED          the attempts were stopped, since the request may crash leafs
//	OVERLOADED           no leaf ran it: all refused it or could not be reached; with Retry-After
//	DEADLINE_EXCEEDED    the first missing shard timed out at the deadline
//	LEAF_FAILED          the leaf of a single request failed
//	INCOMPLETE_COVERAGE  a gathered request has too few parts
//
// earlyFailure returns the failures of cancelled executions.
func (e *execution) noAnswerFailure() error {
	state := e.executionState()
	if e.groupFailure != nil && state == failure.NotRun {
		return e.groupFailure
	}
	reason := e.firstReason()
	code := failure.IncompleteCoverage
	switch {
	case e.summary.StoppedByCrashes:
		code = failure.LeafsCrashed
	case state == failure.NotRun:
		code = failure.Overloaded
	case reason == scatter.Deadline:
		code = failure.DeadlineExceeded
	case !e.isGathered():
		code = failure.LeafFailed
	}
	failed := failure.New(code, state, "%d of %d shards are missing: %s", len(e.outcomes)-e.summary.Replies, len(e.outcomes), reason)
	if state == failure.NotRun {
		failed = failed.WithRetryAfter(e.gateway.cfg.RetryAfter)
	}
	return failed
}

// firstReason returns the reason of the first missing shard.
func (e *execution) firstReason() scatter.Reason {
	for _, outcome := range e.outcomes {
		if outcome.Reply == nil {
			return outcome.Reason
		}
	}
	return ""
}

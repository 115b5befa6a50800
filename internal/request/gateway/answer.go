package gateway

import (
	"net/http"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// gatheredAnswer merges the parts that are in, if there are enough.
func (e *execution) gatheredAnswer() (*Answer, error) {
	answer := &Answer{Status: http.StatusOK}
	bodies := make([][]byte, 0, len(e.outcomes))
	for _, outcome := range e.outcomes {
		if outcome.Reply == nil {
			answer.Missing++
			continue
		}
		answer.Stamps = append(answer.Stamps, outcome.Reply.Header.Get(e.gateway.dialect.ResponseStamp))
		bodies = append(bodies, outcome.Reply.Body)
	}
	if len(answer.Stamps) < max(1, e.request.requiredParts) {
		return nil, e.failed()
	}
	answer.Body = topRecords(bodies, e.request.route.TopRecords)
	return answer, nil
}

// singleAnswer passes the leaf's answer on, or its last failure when there was no success.
func (e *execution) singleAnswer() (*Answer, error) {
	reply := e.outcomes[0].Reply
	if reply == nil {
		e.mu.Lock()
		reply = e.lastFailure
		e.mu.Unlock()
	}
	if reply == nil {
		return nil, e.failed()
	}
	return &Answer{Status: reply.Status, Header: leafhttp.PassedOn(reply.Header), Body: reply.Body}, nil
}

// failed makes the typed failure of a request without an answer.
func (e *execution) failed() error {
	execution := e.executionState()
	if e.groupFailure != nil && execution == failure.NotRun {
		return e.groupFailure
	}
	reason := e.firstReason()
	code := failure.IncompleteCoverage
	switch {
	case e.summary.Fatal:
		code = failure.LeafsEnded
	case execution == failure.NotRun:
		code = failure.Overloaded
	case reason == scatter.Deadline:
		code = failure.DeadlineExceeded
	case !e.isGathered():
		code = failure.LeafFailed
	}
	failed := failure.New(code, execution, "%d of %d shards are missing: %s", len(e.outcomes)-e.summary.Replies, len(e.outcomes), reason)
	if execution == failure.NotRun {
		failed = failed.WithRetryAfter(e.gateway.config.RetryAfter)
	}
	return failed
}

func (e *execution) firstReason() scatter.Reason {
	for _, outcome := range e.outcomes {
		if outcome.Reply == nil {
			return outcome.Reason
		}
	}
	return ""
}

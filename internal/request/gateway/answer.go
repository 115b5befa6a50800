package gateway

import (
	"net/http"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

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
	return &Answer{Status: reply.Status, Header: leafhttp.ForwardedHeaders(reply.Header), Body: reply.Body}, nil
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
	case w.summary.StoppedByCrashes:
		code = failure.LeafsEnded
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

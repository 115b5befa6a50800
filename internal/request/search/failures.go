package search

import (
	"context"
	"errors"
	"time"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// failureOf returns the failure of a search without a usable answer: it was quarantined or cancelled, ranges are
// missing although full coverage was demanded, or nothing is covered. It returns nil otherwise.
func (e *Engine) failureOf(ctx context.Context, query *query, merged *page, response *searchv1.SearchResponse, execution failure.ExecutionState) error {
	if errors.Is(context.Cause(ctx), errQuarantined) {
		return quarantined(query.content(), execution)
	}
	if ctx.Err() != nil {
		return failure.New(failure.Cancelled, execution, "the search was cancelled by its caller, or because the node is stopping")
	}
	if merged.complete() {
		return nil
	}
	if len(merged.covered) > 0 && !query.requiresFullCoverage {
		return nil
	}
	failed := failure.New(failureCode(merged, query), execution, "%d ranges are missing, the first from key %q: %s",
		len(merged.missing), merged.missing[0].keys.From, merged.missing[0].reason)
	failed.Coverage = response.GetReport().GetCoverage()
	failed.RetryAfter = e.retryAfter(merged)
	return failed
}

// failureCode returns the code of a search with missing ranges: their common cause if nothing was covered,
// IncompleteCoverage otherwise.
func failureCode(merged *page, query *query) failure.Code {
	if len(merged.covered) > 0 {
		return failure.IncompleteCoverage
	}
	allShed, allTimedOut := true, true
	for _, missed := range merged.missing {
		allShed = allShed && (missed.reason == missingShed || missed.reason == missingReason(balancer.ReplicasFull))
		allTimedOut = allTimedOut && missed.reason == missingDeadline
		if missed.reason == missingNotRepeated {
			return failure.NotRepeatable
		}
	}
	switch {
	case allShed:
		return failure.Overloaded
	case allTimedOut && !query.atMostOnce:
		return failure.DeadlineExceeded
	}
	return failure.IncompleteCoverage
}

// retryAfterMissing is the delay after which a search with missing ranges may be repeated.
const retryAfterMissing = 200 * time.Millisecond

// retryAfter returns the delay after which a search may be repeated, or 0 if it must not be, because an at-most-once
// search already ran on a leaf.
func (e *Engine) retryAfter(merged *page) time.Duration {
	for _, missed := range merged.missing {
		if missed.reason == missingNotRepeated {
			return 0
		}
	}
	return retryAfterMissing
}

// executionOf returns the execution state of a search.
func executionOf(ran, maybeRan bool) failure.ExecutionState {
	if ran {
		return failure.Ran
	}
	if maybeRan {
		return failure.Unknown
	}
	return failure.NotRun
}

// withExecution returns the failure of a search that could not be replanned, with the execution state of its earlier
// plans.
func withExecution(err error, execution failure.ExecutionState) error {
	failed := *failure.From(err)
	failed.Execution = execution
	return &failed
}

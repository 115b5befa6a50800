package search

import "github.com/portgauge/portgauge/internal/failure"

func executionOf(ran, maybeRan bool) failure.ExecutionState {
	if ran {
		return failure.Ran
	}
	if maybeRan {
		return failure.Unknown
	}
	return failure.NotRun
}

// failedAfter gives a failure to start over, with what is known of the plans before it: that nothing runs now says nothing
// of them.
func failedAfter(err error, execution failure.ExecutionState) error {
	failed := *failure.From(err)
	failed.Execution = execution
	return &failed
}

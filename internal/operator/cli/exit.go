package cli

import (
	"fmt"
	"io"

	"github.com/portgauge/portgauge/internal/failure"
)

// Exit codes of the commands, documented in docs/OPERATIONS.md.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitNotFound    = 4
	ExitConflict    = 5
	ExitUnavailable = 6
	ExitUnknown     = 7
	ExitIncomplete  = 8
)

var exitCodes = map[failure.Code]int{
	failure.InvalidField:       ExitInvalid,
	failure.UnknownService:     ExitNotFound,
	failure.NoSnapshot:         ExitNotFound,
	failure.RevisionConflict:   ExitConflict,
	failure.NotRepeatable:      ExitConflict,
	failure.NotReady:           ExitUnavailable,
	failure.Unreachable:        ExitUnavailable,
	failure.Draining:           ExitUnavailable,
	failure.Overloaded:         ExitUnavailable,
	failure.StoreUnavailable:   ExitUnavailable,
	failure.DeadlineExceeded:   ExitUnavailable,
	failure.DeadlineTooShort:   ExitUnavailable,
	failure.OutcomeUnknown:     ExitUnknown,
	failure.IncompleteCoverage: ExitIncomplete,
}

// Fail prints each fault of an error on a line of its own and returns the exit code.
func Fail(output io.Writer, err error) int {
	code := ExitInternal
	for _, fault := range failure.Faults(err) {
		line := "error: " + fault.Error()
		if fault.Execution != 0 {
			line += fmt.Sprintf(" (%s)", fault.Execution)
		}
		if fault.RetryAfter > 0 {
			line += fmt.Sprintf(" (retry after %v)", fault.RetryAfter)
		}
		if fault.CurrentRevision > 0 {
			line += fmt.Sprintf(" (current revision %d)", fault.CurrentRevision)
		}
		if _, writeErr := fmt.Fprintln(output, line); writeErr != nil {
			return ExitInternal
		}
		if known, found := exitCodes[fault.Code]; found {
			code = known
		}
	}
	return code
}

// Package failure defines the typed errors that portgauge returns to callers and operators.
//
// Every failure has a stable code, says whether any back end ran the request and, if a retry is useful, how long to wait
// before it. The package owns no state; internal/request/front and internal/operator/api encode failures for callers and
// operators.
package failure

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
)

// Code is the stable name of a kind of failure. Codes are never renamed.
type Code string

// The codes a caller or operator can receive.
const (
	InvalidField       Code = "INVALID_FIELD"
	TooLarge           Code = "TOO_LARGE"
	UnknownService     Code = "UNKNOWN_SERVICE"
	UnknownRoute       Code = "UNKNOWN_ROUTE"
	NoSnapshot         Code = "NO_SNAPSHOT"
	NotReady           Code = "NOT_READY"
	Draining           Code = "DRAINING"
	Overloaded         Code = "OVERLOADED"
	DeadlineTooShort   Code = "DEADLINE_TOO_SHORT"
	DeadlineExceeded   Code = "DEADLINE_EXCEEDED"
	IncompleteCoverage Code = "INCOMPLETE_COVERAGE"
	LeafFailed         Code = "LEAF_FAILED"
	NotRepeatable      Code = "NOT_REPEATABLE"
	RevisionConflict   Code = "REVISION_CONFLICT"
	StoreUnavailable   Code = "STORE_UNAVAILABLE"
	OutcomeUnknown     Code = "OUTCOME_UNKNOWN"
	Cancelled          Code = "CANCELLED"
	Unreachable        Code = "UNREACHABLE"
	// LeafsEnded means that leafs crashed while they ran the request, Quarantined that so many did that it is sent to no
	// leaf any more.
	LeafsEnded  Code = "LEAFS_ENDED"
	Quarantined Code = "QUARANTINED"
	Internal    Code = "INTERNAL"
)

// ExecutionState says what is known of whether the request ran at a back end.
type ExecutionState = searchv1.ExecutionState

// The execution states of a failure.
const (
	NotRun  = searchv1.ExecutionState_EXECUTION_STATE_NOT_RUN
	Ran     = searchv1.ExecutionState_EXECUTION_STATE_RAN
	Unknown = searchv1.ExecutionState_EXECUTION_STATE_UNKNOWN
)

// Failure is the one error type that crosses portgauge's public interfaces.
type Failure struct {
	Code      Code
	Execution ExecutionState
	// Field is the path of the invalid field, for InvalidField.
	Field string
	// Message is one sentence for a person; programs read the other fields.
	Message string
	// RetryAfter is how long to wait before a retry; zero if a retry is useless.
	RetryAfter time.Duration
	// Coverage is what was reached, for IncompleteCoverage.
	Coverage *searchv1.Coverage
	// CurrentRevision is the revision in the store, for RevisionConflict.
	CurrentRevision int64

	cause error
}

// New returns a failure with a formatted message.
func New(code Code, execution ExecutionState, format string, arguments ...any) *Failure {
	return &Failure{Code: code, Execution: execution, Message: fmt.Sprintf(format, arguments...)}
}

// Invalid returns an InvalidField failure; nothing ran.
func Invalid(field, format string, arguments ...any) *Failure {
	invalid := New(InvalidField, NotRun, format, arguments...)
	invalid.Field = field
	return invalid
}

// Wrap returns a failure that keeps its cause, with the stack of the caller.
func Wrap(cause error, code Code, execution ExecutionState, message string) *Failure {
	return &Failure{Code: code, Execution: execution, Message: message, cause: merry.WrapSkipping(cause, 1)}
}

// WithRetryAfter sets how long to wait before a retry.
func (f *Failure) WithRetryAfter(after time.Duration) *Failure {
	f.RetryAfter = after
	return f
}

// Error returns the code, the field if any, the message and the cause.
func (f *Failure) Error() string {
	text := string(f.Code)
	if f.Field != "" {
		text += " " + f.Field
	}
	text += ": " + f.Message
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// From returns the Failure in an error chain, or a new one with code Internal and execution Unknown if there is none.
func From(err error) *Failure {
	var found *Failure
	if errors.As(err, &found) {
		return found
	}
	return Wrap(err, Internal, Unknown, "unexpected error")
}

// Is reports whether an error chain contains a failure with the code.
func Is(err error, code Code) bool {
	var found *Failure
	return errors.As(err, &found) && found.Code == code
}

// Package failure defines the typed errors that portgauge returns to callers and operators.
//
// Every failure has a stable code. It states whether a leaf ran the request and, if a retry is useful, how long to
// wait before it. The package owns no state; internal/request/front and internal/operator/api encode failures for callers
// and operators.
package failure

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
)

// Code is the stable name of a kind of failure. A code is never renamed.
type Code string

// The codes that a caller or operator can receive.
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
	// LeafsCrashed means that leafs crashed while they ran the request. Quarantined means that enough leafs crashed that
	// the request is no longer sent to any leaf.
	LeafsCrashed Code = "LEAFS_ENDED"
	Quarantined  Code = "QUARANTINED"
	Internal     Code = "INTERNAL"
)

// ExecutionState states whether a leaf ran the request, as far as portgauge can tell.
type ExecutionState = searchv1.ExecutionState

// The execution states of a failure.
const (
	NotRun  = searchv1.ExecutionState_EXECUTION_STATE_NOT_RUN
	Ran     = searchv1.ExecutionState_EXECUTION_STATE_RAN
	Unknown = searchv1.ExecutionState_EXECUTION_STATE_UNKNOWN
)

// Failure is the only error type that portgauge's public interfaces return.
type Failure struct {
	Code      Code
	Execution ExecutionState
	// Field is the path of the invalid field, for InvalidField.
	Field string
	// Message is a human-readable sentence; programs use the other fields.
	Message string
	// RetryAfter is how long to wait before a retry; zero if a retry is useless.
	RetryAfter time.Duration
	// Coverage is the coverage that was reached, for IncompleteCoverage.
	Coverage *searchv1.Coverage
	// CurrentRevision is the current revision in the store, for RevisionConflict.
	CurrentRevision int64

	cause error
}

// New returns a failure with a formatted message.
func New(code Code, execution ExecutionState, format string, arguments ...any) *Failure {
	return &Failure{Code: code, Execution: execution, Message: fmt.Sprintf(format, arguments...)}
}

// Invalid returns an InvalidField failure with execution NotRun and a formatted message.
func Invalid(field, format string, arguments ...any) *Failure {
	invalid := New(InvalidField, NotRun, format, arguments...)
	invalid.Field = field
	return invalid
}

// Wrap returns a failure that wraps cause and records the caller's stack.
func Wrap(cause error, code Code, execution ExecutionState, message string) *Failure {
	return &Failure{Code: code, Execution: execution, Message: message, cause: merry.WrapSkipping(cause, 1)}
}

// WithRetryAfter sets how long to wait before a retry.
func (f *Failure) WithRetryAfter(after time.Duration) *Failure {
	f.RetryAfter = after
	return f
}

// Error returns the code, the field if there is one, the message, and the cause if there is one.
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

func (f *Failure) Unwrap() error { return f.cause }

// From returns the first Failure in an error chain. If there is none, it wraps err in one with code Internal and execution
// Unknown.
func From(err error) *Failure {
	var found *Failure
	if errors.As(err, &found) {
		return found
	}
	return Wrap(err, Internal, Unknown, "unexpected error")
}

// Is reports whether the first Failure in an error chain has the given code.
func Is(err error, code Code) bool {
	var found *Failure
	return errors.As(err, &found) && found.Code == code
}

package leafclient

import (
	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
)

// Refusal means that the leaf reported that it did not run the attempt.
type Refusal struct {
	Detail *leafv1.LeafRefusal
}

// Error returns a message with the reason.
func (r *Refusal) Error() string { return "leaf refused: " + r.Detail.GetReason().String() }

// NeverSentError means that no connection could be opened, so that nothing reached the leaf.
type NeverSentError struct {
	Cause error
}

// Error returns the message with its cause.
func (e *NeverSentError) Error() string { return "attempt never sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NeverSentError) Unwrap() error { return e.Cause }

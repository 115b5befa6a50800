package leafclient

import (
	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
)

// Refusal means that the leaf reported that it did not run the attempt.
type Refusal struct {
	Detail *leafv1.LeafRefusal
}

func (r *Refusal) Error() string {
	return "the leaf refused the attempt: " + r.Detail.GetReason().String()
}

// NeverSentError means that no part of the attempt reached the leaf.
type NeverSentError struct {
	Cause error
}

func (e *NeverSentError) Error() string {
	return "the attempt was not sent to the leaf: " + e.Cause.Error()
}

func (e *NeverSentError) Unwrap() error { return e.Cause }

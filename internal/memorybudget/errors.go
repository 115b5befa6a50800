package memorybudget

import (
	"fmt"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// ExceededError means that bytes of a peer don't fit into the budget at present. All counts are in bytes.
type ExceededError struct {
	Kind Kind
	// Bytes were refused, and Held is what the peer held already.
	Bytes, Held int64
	// Limit is what all peers together may hold.
	Limit int64
}

func (e *ExceededError) Error() string {
	return fmt.Sprintf("%d bytes of a %s that holds %d don't fit into the memory budget of %d bytes", e.Bytes, e.Kind, e.Held, e.Limit)
}

// retryAfter is how long a caller should wait whose request didn't fit.
const retryAfter = 200 * time.Millisecond

// Refusal returns the failure of a request that didn't fit and hasn't run.
func (e *ExceededError) Refusal() *failure.Failure {
	return failure.Wrap(e, failure.Overloaded, failure.NotRun, "no memory for the request").WithRetryAfter(retryAfter)
}

// Part is a part of a message whose size is limited.
type Part string

// The parts of a message. The header includes the start line.
const (
	Header Part = "header"
	Body   Part = "body"
	Line   Part = "line"
)

// TooLargeError means that a part of a message exceeds its own limit, in bytes.
type TooLargeError struct {
	Part  Part
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the %s exceeds %d bytes", e.Part, e.Limit)
}

package leafhttp

import (
	"errors"
	"fmt"
	"io"
	"syscall"
)

// NeverSentError means that no part of the request reached the leaf.
type NeverSentError struct {
	Cause error
}

func (e *NeverSentError) Error() string {
	return "the request was not sent to the leaf: " + e.Cause.Error()
}

func (e *NeverSentError) Unwrap() error { return e.Cause }

// BrokenAnswerError means that the request was sent, at least in part, and no complete answer was received. The leaf
// may have run the request.
type BrokenAnswerError struct {
	Cause error
}

func (e *BrokenAnswerError) Error() string {
	return "no complete answer from the leaf: " + e.Cause.Error()
}

func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// IsBrokenByLeaf reports whether the leaf closed or reset the connection of an attempt whose request was sent. It also
// holds if the attempt was cancelled before that.
func IsBrokenByLeaf(err error) bool {
	var broken *BrokenAnswerError
	if !errors.As(err, &broken) {
		return false
	}
	return errors.Is(broken, io.EOF) || errors.Is(broken, io.ErrUnexpectedEOF) || errors.Is(broken, syscall.ECONNRESET) || errors.Is(broken, syscall.EPIPE)
}

// ConnectionResetError means that the leaf reset a new connection before any answer on it, as leafs with too many
// connections do. It is unknown whether the leaf ran the request.
type ConnectionResetError struct {
	Cause error
}

func (e *ConnectionResetError) Error() string {
	return "the leaf reset a new connection: " + e.Cause.Error()
}

func (e *ConnectionResetError) Unwrap() error { return e.Cause }

// ForeignAnswerError means that an answer carries the ID of another request or none.
type ForeignAnswerError struct {
	RequestID string
}

func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("the answer carries the request ID %q instead of the ID that was sent", e.RequestID)
}

// UnexpectedStatusError means that an answer has a status that is not valid for any request.
type UnexpectedStatusError struct {
	Status int
}

func (e *UnexpectedStatusError) Error() string {
	return fmt.Sprintf("the answer has the unexpected status %d", e.Status)
}

// ErrSuperseded is the cancellation cause of an attempt whose answer is no longer needed, because another attempt was
// faster or the request ended without it. The connection is kept if the answer is received in time; see
// exchange.Cancel.
var ErrSuperseded = errors.New("the attempt was cancelled because its answer is no longer needed")

// errDeadlinePassed means that a request was not sent because its deadline had passed.
var errDeadlinePassed = errors.New("the deadline passed before the request was sent")

// errNotAllowed means that a request was not sent because the leaf must not get requests; see Pool.SetMaySend.
var errNotAllowed = errors.New("the leaf must not get requests: it left or is draining, its zone is evacuated, its version is disallowed, or its rate while cold is used up")

// errUnexpectedBytes means that bytes were received on an idle connection.
var errUnexpectedBytes = errors.New("received bytes on an idle connection")

// errStale means that a connection was closed or received bytes while it was idle.
var errStale = errors.New("the connection was closed or received bytes while it was idle")

// errClosed means that the pool is closed, the leaf is no longer known, or a new connection replaces this one.
var errClosed = errors.New("the connection pool is closed, the leaf is no longer known, or the connection is replaced")

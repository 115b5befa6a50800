package servingtree

import "strconv"

// NeverSentError means that a request was not sent: nothing has run, and nothing will.
type NeverSentError struct{ Cause error }

// Error implements error.
func (e *NeverSentError) Error() string { return "not sent to the intermediate: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NeverSentError) Unwrap() error { return e.Cause }

// BrokenError means that the connection ended with the request in flight: it may have run.
type BrokenError struct{ Cause error }

// Error implements error.
func (e *BrokenError) Error() string {
	return "connection to the intermediate lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// LineTooLongError means that a line is longer than MaximumLineBytes.
type LineTooLongError struct{ Bytes, Limit int }

// Error implements error.
func (e *LineTooLongError) Error() string {
	return "a line of " + strconv.Itoa(e.Bytes) + " bytes; at most " + strconv.Itoa(e.Limit)
}

// VersionError means that the other node uses another version of the line format.
type VersionError struct{ Version int }

// Error implements error.
func (e *VersionError) Error() string { return "lines of version " + strconv.Itoa(e.Version) }

// FullError means that a connection has as many requests in flight as it may.
type FullError struct{ Limit int }

// Error implements error.
func (e *FullError) Error() string {
	return "as many requests in flight as allowed: " + strconv.Itoa(e.Limit)
}

// ClosedError means that the client was closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "the client is closed" }

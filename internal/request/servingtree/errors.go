package servingtree

import "strconv"

// NeverSentError means that a request was not sent: nothing has run.
type NeverSentError struct{ Cause error }

// Error names the cause.
func (e *NeverSentError) Error() string { return "not sent to the intermediate: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *NeverSentError) Unwrap() error { return e.Cause }

// BrokenError means that a connection ended with the request under way: it may have run.
type BrokenError struct{ Cause error }

// Error names the cause.
func (e *BrokenError) Error() string {
	return "connection to the intermediate lost: " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// LineTooLongError means that a line is beyond the bound.
type LineTooLongError struct{ Bytes, Limit int }

// Error names both sizes.
func (e *LineTooLongError) Error() string {
	return "a line of " + strconv.Itoa(e.Bytes) + " bytes; at most " + strconv.Itoa(e.Limit)
}

// VersionError means that the other node speaks another version of the lines.
type VersionError struct{ Version int }

// Error names the version.
func (e *VersionError) Error() string { return "lines of version " + strconv.Itoa(e.Version) }

// FullError means that a connection carries as many requests as it may.
type FullError struct{ Limit int }

// Error names the bound.
func (e *FullError) Error() string {
	return "as many requests under way as allowed: " + strconv.Itoa(e.Limit)
}

// ClosedError means that the client was closed.
type ClosedError struct{}

// Error says so.
func (e *ClosedError) Error() string { return "the client is closed" }

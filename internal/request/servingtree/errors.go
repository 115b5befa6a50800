package servingtree

import "strconv"

// NeverSentError means that a request was not sent and never will be: nothing has run.
type NeverSentError struct{ Cause error }

func (e *NeverSentError) Error() string {
	return "the request was not sent to the intermediate: " + e.Cause.Error()
}

func (e *NeverSentError) Unwrap() error { return e.Cause }

// BrokenError means that a call ended without a reply after its request may have been sent: the request may have run.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string {
	return "the connection to the intermediate ended before the reply: " + e.Cause.Error()
}

func (e *BrokenError) Unwrap() error { return e.Cause }

// LineTooLongError means that a line is longer than MaximumLineBytes.
type LineTooLongError struct{ Bytes, Limit int }

func (e *LineTooLongError) Error() string {
	return "the line was not sent because it is too long: " + strconv.Itoa(e.Bytes) + " bytes; the maximum is " + strconv.Itoa(e.Limit)
}

// VersionError means that the other node uses another version of the line format.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return "the line has an unsupported version of the format: " + strconv.Itoa(e.Version)
}

// FullError means that a connection has the maximum number of requests in flight.
type FullError struct{ Limit int }

func (e *FullError) Error() string {
	return "the connection has the maximum number of requests in flight: " + strconv.Itoa(e.Limit)
}

// ClosedError means that the client was closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "the client is closed" }

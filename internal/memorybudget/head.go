package memorybudget

import (
	"bytes"
	"io"
	"net/http"
)

// fieldBytes is the memory of a parsed header field beside its text: its part of the map and its list of values.
const fieldBytes = 128

// HeadReader reads a connection and limits what is read for the head of a message, its start line and header, because
// net/http has no limit in a client and a fixed one in a server. Outside Begin and End it passes reads on unlimited. It
// isn't safe for concurrent use.
type HeadReader struct {
	source io.Reader
	// reservation is that of the head being read; nil if none is.
	reservation *Reservation
	// limit is how many bytes the head may have, and left how many of them may still be read.
	limit, left int64
}

// NewHeadReader returns a reader that is between two heads.
func NewHeadReader(source io.Reader) *HeadReader { return &HeadReader{source: source} }

// Begin begins a head, of which the buffered bytes were read before. The bytes of the head and of what is parsed from it
// are added to the reservation.
func (r *HeadReader) Begin(buffered []byte, limit int64, reservation *Reservation) error {
	r.reservation, r.limit, r.left = reservation, limit, limit-int64(len(buffered))
	return reservation.Grow(headBytes(buffered))
}

// End ends the head. Its bytes remain reserved.
func (r *HeadReader) End() { r.reservation = nil }

// Exceeded returns a *TooLargeError if the head exceeded its limit, and the given error of reading it otherwise: the last
// line before the limit is cut, and may be reported as malformed.
func (r *HeadReader) Exceeded(err error) error {
	if r.left <= 0 {
		return &TooLargeError{Part: Header, Limit: r.limit}
	}
	return err
}

// Read implements io.Reader. It returns a *TooLargeError once the head exceeds its limit, and an *ExceededError if it
// doesn't fit.
func (r *HeadReader) Read(buffer []byte) (int, error) {
	if r.reservation == nil {
		return r.source.Read(buffer)
	}
	if r.left <= 0 {
		return 0, r.Exceeded(nil)
	}
	if int64(len(buffer)) > r.left {
		buffer = buffer[:r.left]
	}
	n, err := r.source.Read(buffer)
	r.left -= int64(n)
	if exceeded := r.reservation.Grow(headBytes(buffer[:n])); exceeded != nil {
		return 0, exceeded
	}
	return n, err
}

// HeaderBytes returns the memory of a parsed header.
func HeaderBytes(header http.Header) int64 {
	var size int64
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name) + len(value) + fieldBytes)
		}
	}
	return size
}

// headBytes returns the memory that a part of a head and what is parsed from it take.
func headBytes(part []byte) int64 {
	return int64(len(part) + fieldBytes*bytes.Count(part, []byte{'\n'}))
}

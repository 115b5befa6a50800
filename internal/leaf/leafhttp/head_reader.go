package leafhttp

import "io"

// headReader reads a connection and limits how much is read for the header of an answer, because http.ReadResponse has no
// limit. Outside begin and end it passes reads on unlimited.
type headReader struct {
	source io.Reader
	// isLimited says that a header is being read, limit how many bytes it may have, and left how many of them may still
	// be read from the source.
	isLimited   bool
	limit, left int64
}

// exceeded returns an *AnswerTooLargeError if the header exceeded its limit, and the given error of reading it otherwise:
// the last line before the limit is cut, and may be reported as malformed.
func (r *headReader) exceeded(err error) error {
	if r.left <= 0 {
		return &AnswerTooLargeError{Part: headerPart, Limit: r.limit}
	}
	return err
}

// begin begins a header of which the given number of bytes has already been read.
func (r *headReader) begin(buffered int, limit int64) {
	r.isLimited, r.limit, r.left = true, limit, limit-int64(buffered)
}

// end ends the header.
func (r *headReader) end() { r.isLimited = false }

// Read implements io.Reader. It returns an *AnswerTooLargeError once the header exceeds its limit.
func (r *headReader) Read(buffer []byte) (int, error) {
	if !r.isLimited {
		return r.source.Read(buffer)
	}
	if r.left <= 0 {
		return 0, r.exceeded(nil)
	}
	if int64(len(buffer)) > r.left {
		buffer = buffer[:r.left]
	}
	n, err := r.source.Read(buffer)
	r.left -= int64(n)
	return n, err
}

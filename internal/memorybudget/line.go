package memorybudget

import (
	"bufio"
	"errors"
	"io"
)

// lineBufferBytes is the size of the read buffer of a LineReader, and of the shortest line that is copied out of it.
const lineBufferBytes = 4 << 10

// LineReader reads lines of a bounded length. It isn't safe for concurrent use.
type LineReader struct {
	reader *bufio.Reader
	limit  int64
}

// NewLineReader returns a reader of lines of at most limit bytes, without their line feed.
func NewLineReader(source io.Reader, limit int64) *LineReader {
	return &LineReader{reader: bufio.NewReaderSize(source, lineBufferBytes), limit: limit}
}

// Read returns the next line without its line feed, and reserves its bytes. The line is valid until the next call. A line
// over the limit gives a *TooLargeError, one that doesn't fit an *ExceededError, and one without an end
// io.ErrUnexpectedEOF.
func (r *LineReader) Read(reservation *Reservation) ([]byte, error) {
	part, err := r.reader.ReadSlice('\n')
	if err == nil {
		return r.whole(part[:len(part)-1], reservation)
	}
	var line []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		if line, err = r.add(line, part, reservation); err != nil {
			return nil, err
		}
		part, err = r.reader.ReadSlice('\n')
	}
	switch {
	case err == nil:
		return r.add(line, part[:len(part)-1], reservation)
	case errors.Is(err, io.EOF) && len(line)+len(part) > 0:
		return nil, io.ErrUnexpectedEOF
	}
	return nil, err
}

// whole returns a line that is still in the read buffer.
func (r *LineReader) whole(line []byte, reservation *Reservation) ([]byte, error) {
	if int64(len(line)) > r.limit {
		return nil, &TooLargeError{Part: Line, Limit: r.limit}
	}
	return line, reservation.Grow(int64(len(line)))
}

// add appends a part to a line.
func (r *LineReader) add(line, part []byte, reservation *Reservation) ([]byte, error) {
	if int64(len(line)+len(part)) > r.limit {
		return nil, &TooLargeError{Part: Line, Limit: r.limit}
	}
	for len(line)+len(part) > cap(line) {
		grown, err := growBuffer(line, 2*lineBufferBytes, max(r.limit, 2*lineBufferBytes), reservation)
		if err != nil {
			return nil, err
		}
		line = grown
	}
	return append(line, part...), nil
}

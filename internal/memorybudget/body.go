package memorybudget

import (
	"errors"
	"io"
)

// firstBodyBytes is the first size of the buffer for a body of unknown length.
const firstBodyBytes = 512

// ReadBody reads a body up to its end, and reserves its buffer before it allocates it. The length is the one that the peer
// declared, negative if it declared none. A body over the limit gives a *TooLargeError, one that doesn't fit an
// *ExceededError.
func ReadBody(body io.Reader, length, limit int64, reservation *Reservation) ([]byte, error) {
	switch {
	case length > limit:
		return nil, &TooLargeError{Part: Body, Limit: limit}
	case length == 0:
		return nil, nil
	case length > 0:
		return readDeclared(body, length, reservation)
	}
	return readUnknown(body, limit, reservation)
}

func readDeclared(body io.Reader, length int64, reservation *Reservation) ([]byte, error) {
	if err := reservation.Grow(length); err != nil {
		return nil, err
	}
	content := make([]byte, length)
	_, err := io.ReadFull(body, content)
	return content, err
}

// readUnknown reads a body of unknown length. While the buffer grows, the old one and the new one are reserved.
func readUnknown(body io.Reader, limit int64, reservation *Reservation) ([]byte, error) {
	var content []byte
	for {
		if len(content) == cap(content) {
			grown, err := growBuffer(content, firstBodyBytes, limit+1, reservation)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case int64(len(content)) > limit:
			return nil, &TooLargeError{Part: Body, Limit: limit}
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}

// growBuffer returns the content in a buffer of twice the capacity, within the given bounds.
func growBuffer(content []byte, first, most int64, reservation *Reservation) ([]byte, error) {
	before := int64(cap(content))
	after := min(max(first, 2*before), most)
	if err := reservation.Grow(after); err != nil {
		return nil, err
	}
	grown := make([]byte, len(content), after)
	copy(grown, content)
	reservation.Shrink(before)
	return grown, nil
}

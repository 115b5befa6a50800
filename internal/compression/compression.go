// Package compression compresses values and messages as gzip, and expands them up to a bound in bytes. It owns a
// pool of idle compressors.
package compression

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrTooLong is the error of content that exceeds its bound once expanded.
var ErrTooLong = merry.New("content too long once expanded")

// compressors are idle compressors, which are worth keeping: each has about 800 KB of tables.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Compress returns the content as gzip.
func Compress(content []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := compressors.Get().(*gzip.Writer)
	defer compressors.Put(writer)
	writer.Reset(&buffer)
	if _, err := writer.Write(content); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Expand returns the content of a gzip form, or ErrTooLong if it exceeds maximumBytes.
func Expand(packed []byte, maximumBytes int64) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(reader, maximumBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > maximumBytes {
		return nil, merry.Wrap(ErrTooLong)
	}
	return content, nil
}

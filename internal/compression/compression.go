// Package compression compresses values and messages with gzip, and expands them up to a maximum size. It owns a pool of
// idle compressors.
package compression

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrTooLong is returned by Expand for content that exceeds the maximum size when expanded.
var ErrTooLong = merry.New("expanded content exceeds the maximum size")

// compressors pools idle compressors, since each allocates about 800 KB of tables.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Compress returns the content compressed with gzip.
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

// Expand returns the decompressed content of packed, or ErrTooLong if it exceeds maximumBytes.
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

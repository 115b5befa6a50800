// Package compression compresses values and messages with gzip, and expands them up to a maximum size. It owns a pool of
// idle compressors.
package compression

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/portgauge/portgauge/internal/memorybudget"
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

// trailerBytes is the size of the field at the end of gzip content that holds the expanded size.
const trailerBytes = 4

// Expand returns the decompressed content of packed, or ErrTooLong if it exceeds maximumBytes or the size that packed
// states. It adds the content to the reservation, which may be nil.
func Expand(packed []byte, maximumBytes int64, reservation *memorybudget.Reservation) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	size := int64(binary.LittleEndian.Uint32(packed[len(packed)-trailerBytes:]))
	content, err := memorybudget.ReadBody(reader, size, maximumBytes, reservation)
	if errors.As(err, new(*memorybudget.TooLargeError)) {
		return nil, merry.Wrap(ErrTooLong)
	}
	if err != nil {
		return nil, err
	}
	// Reading on verifies the checksum.
	switch extra, err := reader.Read(make([]byte, 1)); {
	case extra > 0:
		return nil, merry.Wrap(ErrTooLong)
	case err != nil && !errors.Is(err, io.EOF):
		return nil, err
	}
	return content, nil
}

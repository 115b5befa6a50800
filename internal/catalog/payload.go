package catalog

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
)

// maximumPayload bounds a payload in bytes once expanded.
const maximumPayload = 16 << 20

// errPayloadTooLong is the error of a payload beyond the bound.
var errPayloadTooLong = merry.New("configuration payload too long")

// packMessage encodes a message in compressed binary form: decoding it as JSON took most of a
// node's time in a burst of changes.
func packMessage(message proto.Message) ([]byte, error) {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(content); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// unpackMessage decodes a message; fields of a newer schema are ignored.
func unpackMessage(payload []byte, message proto.Message) error {
	reader, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return err
	}
	content, err := io.ReadAll(io.LimitReader(reader, maximumPayload+1))
	if err != nil {
		return err
	}
	if len(content) > maximumPayload {
		return merry.Wrap(errPayloadTooLong)
	}
	return proto.Unmarshal(content, message)
}

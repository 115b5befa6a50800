package catalog

import (
	"google.golang.org/protobuf/proto"

	"github.com/portgauge/portgauge/internal/compression"
)

// maximumPayload bounds a payload in bytes once expanded.
const maximumPayload = 16 << 20

// packMessage encodes a message in compressed binary form, which is much cheaper to decode in a burst than JSON.
func packMessage(message proto.Message) ([]byte, error) {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	return compression.Compress(content)
}

// unpackMessage decodes a message; fields of a newer schema are ignored.
func unpackMessage(payload []byte, message proto.Message) error {
	content, err := compression.Expand(payload, maximumPayload)
	if err != nil {
		return err
	}
	return proto.Unmarshal(content, message)
}

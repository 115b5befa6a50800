package catalog

import (
	"google.golang.org/protobuf/proto"

	"github.com/portgauge/portgauge/internal/compression"
)

// maxPayloadBytes bounds the size of an expanded payload in bytes.
const maxPayloadBytes = 16 << 20

// packMessage encodes a message in compressed binary form, which is much cheaper to decode than JSON.
func packMessage(message proto.Message) ([]byte, error) {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	return compression.Compress(content)
}

// unpackMessage decodes a message. Fields of a newer schema are ignored.
func unpackMessage(payload []byte, message proto.Message) error {
	content, err := compression.Expand(payload, maxPayloadBytes, nil)
	if err != nil {
		return err
	}
	return proto.Unmarshal(content, message)
}

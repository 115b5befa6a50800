package memorybudget

import "bytes"

// Memory of decoded JSON, in bytes, beside its text. The largest struct that a list of a message has takes less than
// structBytes, also where the text has only "null" or "{}" for it.
const (
	elementBytes = 16
	listBytes    = 64
	structBytes  = 192
)

// messageFactor is the memory of a protobuf message and of what is decoded from it, per byte of the message.
const messageFactor = 2

// MessageBytes returns the memory of protobuf messages of the given size and of what is decoded from them.
func MessageBytes(size int64) int64 { return messageFactor * size }

// DecodedBytes returns an upper estimate of the memory that decoding a JSON text takes, beside the text itself.
func DecodedBytes(text []byte) int64 {
	elements := bytes.Count(text, []byte{','})
	lists := bytes.Count(text, []byte{'['})
	structs := bytes.Count(text, []byte{'{'}) + bytes.Count(text, []byte("null"))
	return int64(len(text) + elementBytes*elements + listBytes*lists + structBytes*structs)
}

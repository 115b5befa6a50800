package memorybudget

import "bytes"

// Memory of decoded JSON, in bytes, beside its text. The largest struct that a list of a message has takes less than
// structBytes, also where the text has only "null" or "{}" for it.
const (
	elementBytes = 16
	listBytes    = 64
	structBytes  = 192
)

// DecodedBytes returns an upper estimate of the memory that decoding a JSON text takes, beside the text itself.
func DecodedBytes(text []byte) int64 {
	elements := bytes.Count(text, []byte{','})
	lists := bytes.Count(text, []byte{'['})
	structs := bytes.Count(text, []byte{'{'}) + bytes.Count(text, []byte("null"))
	return int64(len(text) + elementBytes*elements + listBytes*lists + structBytes*structs)
}

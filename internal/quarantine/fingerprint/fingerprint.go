// Package fingerprint identifies requests by their content, so that any node recognizes a repeated request. Each
// repetition has its own ID, but the same path, caller and body. The package keeps no state.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/portgauge/portgauge/internal/failure"
)

// size is the size of a fingerprint in bytes. With 128 bits, finding a request with a given fingerprint takes about
// 2^128 hashes, and finding two requests with equal fingerprints 2^64. With 64 bits the latter would take 2^32 hashes,
// about an hour.
const size = 16

// Fingerprint identifies a request; the zero value stands for no request.
type Fingerprint [size]byte

// Content holds the fields of a request that its fingerprint is computed from.
type Content struct {
	Method string
	Host   string
	Path   string
	// Query is set only if the operator configures it: page numbers and the like change between repetitions.
	Query string
	// Caller is the identity that the caller states, not its network address, which may be shared or change.
	Caller string
	Body   []byte
}

func Of(content Content) Fingerprint {
	sum := sha256.New()
	for _, part := range []string{content.Method, content.Host, content.Path, content.Query, content.Caller} {
		writePart(sum, []byte(part))
	}
	writePart(sum, content.Body)
	return Fingerprint(sum.Sum(nil)[:size])
}

// writePart writes a part preceded by its length, so that different contents have different encodings.
func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	mustWrite(sum, length[:])
	mustWrite(sum, part)
}

// mustWrite writes to a hash. Hashes never return an error.
func mustWrite(w io.Writer, part []byte) {
	if _, err := w.Write(part); err != nil {
		panic(err)
	}
}

// String returns the fingerprint as 32 hexadecimal digits, or "" for the zero value.
func (f Fingerprint) String() string {
	if f.IsZero() {
		return ""
	}
	return hex.EncodeToString(f[:])
}

func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// Parse parses a fingerprint as returned by String.
func Parse(text string) (Fingerprint, error) {
	read, err := hex.DecodeString(text)
	if err != nil || len(read) != size {
		return Fingerprint{}, failure.Invalid("fingerprint", "%q is not %d hexadecimal digits", text, 2*size)
	}
	return Fingerprint(read), nil
}

func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*f = Fingerprint{}
		return nil
	}
	parsed, err := Parse(string(text))
	*f = parsed
	return err
}

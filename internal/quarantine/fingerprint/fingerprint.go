// Package fingerprint identifies requests by what they ask for, so that repetitions of a request are recognised at
// any node: each has its own id, but the path, caller and body stay the same. The package keeps no state.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/portgauge/portgauge/internal/failure"
)

// size is the length of a fingerprint in bytes. To find a request with the fingerprint of another caller's request
// takes about 2^128 hashes; to find two requests with the same fingerprint takes 2^64. With 64 bits the latter would
// take 2^32, about an hour.
const size = 16

// Fingerprint identifies a request; the zero value identifies none.
type Fingerprint [size]byte

// Content is what a fingerprint is computed from.
type Content struct {
	Method string
	Host   string
	Path   string
	// Query counts only if the operator configures it: page numbers and the like change between repetitions.
	Query string
	// Caller is how callers identify themselves; not the network address, which they may share or change.
	Caller string
	Body   []byte
}

// Of returns the fingerprint of a content.
func Of(content Content) Fingerprint {
	sum := sha256.New()
	for _, part := range []string{content.Method, content.Host, content.Path, content.Query, content.Caller} {
		writePart(sum, []byte(part))
	}
	writePart(sum, content.Body)
	return Fingerprint(sum.Sum(nil)[:size])
}

// writePart writes a part preceded by its length, so that no two contents are encoded alike.
func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	mustWrite(sum, length[:])
	mustWrite(sum, part)
}

// mustWrite writes to a hash, which never returns an error.
func mustWrite(w io.Writer, part []byte) {
	if _, err := w.Write(part); err != nil {
		panic(err)
	}
}

// String returns the fingerprint as 32 hexadecimal digits, empty for none.
func (f Fingerprint) String() string {
	if f.IsZero() {
		return ""
	}
	return hex.EncodeToString(f[:])
}

// IsZero reports whether there is no fingerprint.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// Parse parses a fingerprint as returned by String.
func Parse(text string) (Fingerprint, error) {
	read, err := hex.DecodeString(text)
	if err != nil || len(read) != size {
		return Fingerprint{}, failure.Invalid("fingerprint", "%q is not %d hexadecimal digits", text, 2*size)
	}
	return Fingerprint(read), nil
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*f = Fingerprint{}
		return nil
	}
	parsed, err := Parse(string(text))
	*f = parsed
	return err
}

// Package fingerprint names what a request asks for, so that the tries of one request are known as such at any node: each
// try has an id of its own, but path, caller and body stay.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/portgauge/portgauge/internal/failure"
)

// size is the length of a fingerprint in bytes. A caller who wants another's requests to have its own fingerprint, or two of
// its own to share one, must find 2^64 and 2^128 hashes; 64 bits would take it 2^32, which is an hour.
const size = 16

// Fingerprint is that of a request; the zero value is that of none.
type Fingerprint [size]byte

// Content is what a fingerprint is made of.
type Content struct {
	Method string
	Host   string
	Path   string
	// Query counts only where the operator says so: page numbers and the like change from try to try.
	Query string
	// Caller is by what callers identify themselves; not their network address, which they may share or change.
	Caller string
	Body   []byte
}

// Of gives the fingerprint of a content.
func Of(content Content) Fingerprint {
	sum := sha256.New()
	for _, part := range []string{content.Method, content.Host, content.Path, content.Query, content.Caller} {
		writePart(sum, []byte(part))
	}
	writePart(sum, content.Body)
	return Fingerprint(sum.Sum(nil)[:size])
}

// writePart adds a part behind its length, so that no two contents run together to the same bytes.
func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	mustWrite(sum, length[:])
	mustWrite(sum, part)
}

// mustWrite writes to a hash, which never fails by the word of its interface.
func mustWrite(w io.Writer, part []byte) {
	if _, err := w.Write(part); err != nil {
		panic(err)
	}
}

// String gives the fingerprint as operators and logs have it: 32 hexadecimal digits, nothing for none.
func (f Fingerprint) String() string {
	if f.IsZero() {
		return ""
	}
	return hex.EncodeToString(f[:])
}

// IsZero reports whether there is no fingerprint.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// Parse reads a fingerprint as String gives it.
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

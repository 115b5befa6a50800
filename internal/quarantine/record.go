package quarantine

import (
	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// Bounds that make evidence and records fit into a datagram (peer.MaxDatagram): the size of a path and the total
// size of the leaf IDs, in bytes, and the number of crashes.
const (
	maxPathBytes       = 120
	maxLeafBytes       = 600
	maxReportedCrashes = 8
)

// maxLeafs is the maximum number of crashed leafs that are kept per request.
const maxLeafs = 64

// Subject is a request's fingerprint, with a path and a caller that identify the request to operators.
type Subject struct {
	Fingerprint fingerprint.Fingerprint `json:"content"`
	Path        string                  `json:"path,omitempty"`
	Caller      string                  `json:"caller,omitempty"`
}

// NewSubject returns the subject of a request; a long path is truncated.
func NewSubject(content fingerprint.Fingerprint, path, caller string) Subject {
	return Subject{Fingerprint: content, Path: path[:min(len(path), maxPathBytes)], Caller: caller}
}

// Record is a request under quarantine, as it is stored and sent to other nodes.
type Record struct {
	Subject
	// Leafs are the leafs that crashed under the request; their IDs have at most maxLeafBytes bytes in total.
	Leafs []string `json:"leafs"`
	// Retests is the number of retests since the request was put under quarantine.
	Retests int `json:"trials,omitempty"`
	// FoundBy is the ID of the node that put the request under quarantine.
	FoundBy string `json:"by"`
	// Revision is the store revision of the record, 0 while the store does not have it.
	Revision int64 `json:"-"`
}

// ParseRecord decodes and validates a stored record.
func ParseRecord(document json.RawMessage, revision int64) (*Record, error) {
	var record Record
	if err := json.Unmarshal(document, &record); err != nil {
		return nil, failure.Invalid("quarantine", "can't decode the record: %v", err)
	}
	record.Revision = revision
	return &record, record.Validate()
}

// Validate returns an error that names every invalid field.
func (r Record) Validate() error {
	var checks failure.Checks
	checks.Refuse(r.Fingerprint.IsZero(), "content", "must not be empty")
	checks.Refuse(r.Retests < 0, "trials", "must not be negative")
	checks.Refuse(len(r.Leafs) > maxLeafs, "leafs", "%d leafs exceed the maximum of %d", len(r.Leafs), maxLeafs)
	return checks.Err()
}

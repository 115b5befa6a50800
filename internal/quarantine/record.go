package quarantine

import (
	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// Bounds that make evidence and records fit into a datagram (peer.MaximumDatagram): the bytes of a path, of the ids of
// leafs together, and the number of crashes.
const (
	maxPathBytes       = 120
	maxLeafBytes       = 600
	maxReportedCrashes = 8
)

// maxLeafs bounds the crashed leafs that are kept of a request.
const maxLeafs = 64

// Subject identifies a request to operators.
type Subject struct {
	Content fingerprint.Fingerprint `json:"content"`
	Path    string                  `json:"path,omitempty"`
	Caller  string                  `json:"caller,omitempty"`
}

// NewSubject returns the subject of a request; a long path is truncated.
func NewSubject(content fingerprint.Fingerprint, path, caller string) Subject {
	return Subject{Content: content, Path: path[:min(len(path), maxPathBytes)], Caller: caller}
}

// Record is a request under quarantine, as the store keeps it and nodes announce it to each other.
type Record struct {
	Subject
	// Leafs crashed under it; at most maxLeafBytes of ids.
	Leafs []string `json:"leafs"`
	// Retests is the number of retests since.
	Retests int `json:"trials,omitempty"`
	// By is the id of the node that found it.
	By string `json:"by"`
	// Revision is the store's revision, 0 while the store does not have the record.
	Revision int64 `json:"-"`
}

// ParseRecord reads and validates a record of the store.
func ParseRecord(document json.RawMessage, revision int64) (*Record, error) {
	var record Record
	if err := json.Unmarshal(document, &record); err != nil {
		return nil, failure.Invalid("quarantine", "not a record: %v", err)
	}
	record.Revision = revision
	return &record, record.Validate()
}

// Validate returns an error that names every invalid field.
func (r Record) Validate() error {
	var checks failure.Checks
	checks.Refuse(r.Content.IsZero(), "content", "must not be empty")
	checks.Refuse(r.Retests < 0, "trials", "must not be negative")
	checks.Refuse(len(r.Leafs) > maxLeafs, "leafs", "%d; at most %d", len(r.Leafs), maxLeafs)
	return checks.Err()
}

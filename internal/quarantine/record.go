package quarantine

import (
	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// Bounds of what is told of a request, so that it fits into a datagram of 1,400 bytes: a path, the ids of leafs
// together, and the ends of them.
const (
	longestPath = 120
	leafBytes   = 600
	mostEnds    = 8
)

// mostLeafs is how many leafs are kept that ended under a request.
const mostLeafs = 64

// Subject is a request as operators know it.
type Subject struct {
	Content fingerprint.Fingerprint `json:"content"`
	Path    string                  `json:"path,omitempty"`
	Caller  string                  `json:"caller,omitempty"`
}

// NewSubject names a request; a long path is cut off.
func NewSubject(content fingerprint.Fingerprint, path, caller string) Subject {
	return Subject{Content: content, Path: path[:min(len(path), longestPath)], Caller: caller}
}

// Record is a request under quarantine, as the store keeps it and nodes tell each other of it.
type Record struct {
	Subject
	// Leafs ended under it; 600 bytes of ids at most.
	Leafs []string `json:"leafs"`
	// Trials is how often it was tried again since.
	Trials int `json:"trials,omitempty"`
	// By is the id of the node that found it.
	By string `json:"by"`
	// Revision is that of the store; 0 while the store does not have it.
	Revision int64 `json:"-"`
}

// ParseRecord reads a record of the store.
func ParseRecord(document json.RawMessage, revision int64) (*Record, error) {
	var record Record
	if err := json.Unmarshal(document, &record); err != nil {
		return nil, failure.Invalid("quarantine", "not a record: %v", err)
	}
	record.Revision = revision
	return &record, record.Validate()
}

// Validate names every field at fault.
func (r Record) Validate() error {
	var checks failure.Checks
	checks.Refuse(r.Content.IsZero(), "content", "must not be empty")
	checks.Refuse(r.Trials < 0, "trials", "must not be negative")
	checks.Refuse(len(r.Leafs) > mostLeafs, "leafs", "%d; at most %d", len(r.Leafs), mostLeafs)
	return checks.Err()
}

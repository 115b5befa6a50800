package leafset

import (
	"cmp"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/failure"
)

// State is whether a leaf accepts requests, by its own record.
type State string

// The states of a leaf.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Record is the discovery record of one leaf.
type Record struct {
	// Name is what the leaf calls itself and the key of its record. Requests to it carry it.
	Name    string `json:"id"`
	Service string `json:"service"`
	// Address is an IP number and port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Version is that of the leaf's software; empty if unknown.
	Version string `json:"version,omitempty"`
	// Slots is how many requests the leaf runs at once; 0 if unknown.
	Slots int   `json:"slots,omitempty"`
	State State `json:"state"`
	// WarmupMillis is how much longer the leaf was cold when the record was written.
	WarmupMillis int64 `json:"warmup_millis,omitempty"`
	// Born is when the leaf's process started, in Unix milliseconds by its wall clock: it orders the incarnations of leafs
	// that keep their name. 0 if unknown.
	Born int64 `json:"born,omitempty"`
	// Sequence orders the records of one incarnation; 0 if unknown.
	Sequence int64 `json:"sequence,omitempty"`
}

// IsOfEarlierIncarnation reports whether the record is of a process that started before that of another record of the
// same name.
func (r Record) IsOfEarlierIncarnation(other Record) bool { return r.Born > 0 && r.Born < other.Born }

// Compare orders two records of a name by their own fields; isKnown is false if those don't order them.
func Compare(a, b Record) (order int, isKnown bool) {
	if a.Born == b.Born { // the same process, as far as known
		return cmp.Compare(a.Sequence, b.Sequence), a.Sequence != b.Sequence
	}
	return cmp.Compare(a.Born, b.Born), a.Born > 0 && b.Born > 0
}

// List is the stored form of many records.
type List struct {
	Leafs []Record `json:"leafs"`
}

// ParseList parses a list in JSON into a set of a revision.
func ParseList(content []byte, at int64) (*Set, error) {
	var list List
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, failure.Invalid("leafs", "not a list of leafs: %v", err)
	}
	editor := Empty().Edit()
	for _, record := range list.Leafs {
		record.WarmupMillis = 0 // it was relative to when the list was written
		editor.Put(NewLeaf(record, at, time.Time{}))
	}
	return editor.Done(), nil
}

// Parse parses and validates a record in JSON.
func Parse(content []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(content, &record); err != nil {
		return Record{}, failure.Invalid("leaf", "not a leaf record: %v", err)
	}
	var checks failure.Checks
	checks.Refuse(record.Name == "", "id", "must not be empty")
	checks.Refuse(record.Service == "", "service", "must not be empty")
	checks.Refuse(record.Address == "", "address", "must not be empty")
	checks.Refuse(record.State != Ready && record.State != Draining, "state", "%q; must be %s or %s", record.State, Ready, Draining)
	checks.Refuse(record.Born < 0, "born", "must not be negative")
	return record, checks.Err()
}

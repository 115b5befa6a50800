package leafset

import (
	"cmp"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/failure"
)

// State says whether a leaf accepts requests, according to its record.
type State string

// States of a leaf.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Record is the discovery record of one leaf.
type Record struct {
	// Name is the leaf's own name and the key of its record. Requests to the leaf carry the name.
	Name    string `json:"id"`
	Service string `json:"service"`
	// Address is an IP address and port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Version is the version of the leaf's software; empty if unknown.
	Version string `json:"version,omitempty"`
	// Slots is the number of requests that the leaf runs concurrently; 0 if unknown.
	Slots int   `json:"slots,omitempty"`
	State State `json:"state"`
	// WarmupMillis is the remaining warm-up time of the leaf when the record was written.
	WarmupMillis int64 `json:"warmup_millis,omitempty"`
	// Born is the start time of the leaf's process by its wall clock, in Unix milliseconds; 0 if unknown. It orders the
	// incarnations of a leaf that keeps its name.
	Born int64 `json:"born,omitempty"`
	// Sequence orders the records of one incarnation; 0 if unknown.
	Sequence int64 `json:"sequence,omitempty"`
}

// IsOfEarlierIncarnation reports whether the record's process started before the process of another record with the
// same name.
func (r Record) IsOfEarlierIncarnation(other Record) bool { return r.Born > 0 && r.Born < other.Born }

// Compare orders two records with the same name by incarnation and sequence. If these fields don't determine the order,
// isKnown is false.
func Compare(a, b Record) (order int, isKnown bool) {
	if a.Born == b.Born { // the same process, or both start times are unknown
		return cmp.Compare(a.Sequence, b.Sequence), a.Sequence != b.Sequence
	}
	return cmp.Compare(a.Born, b.Born), a.Born > 0 && b.Born > 0
}

// List is the stored form of a set of records.
type List struct {
	Leafs []Record `json:"leafs"`
}

// ParseList parses a list in JSON into a set of leafs with the given revision.
func ParseList(content []byte, at int64) (*Set, error) {
	var list List
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, failure.Invalid("leafs", "the list of leafs can't be decoded: %v", err)
	}
	editor := Empty().Edit()
	for _, record := range list.Leafs {
		record.WarmupMillis = 0 // relative to the time at which the list was written
		editor.Put(NewLeaf(record, at, time.Time{}))
	}
	return editor.Done(), nil
}

// Parse parses and validates a record in JSON.
func Parse(content []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(content, &record); err != nil {
		return Record{}, failure.Invalid("leaf", "the leaf record can't be decoded: %v", err)
	}
	var checks failure.Checks
	checks.Refuse(record.Name == "", "id", "must not be empty")
	checks.Refuse(record.Service == "", "service", "must not be empty")
	checks.Refuse(record.Address == "", "address", "must not be empty")
	checks.Refuse(record.State != Ready && record.State != Draining, "state", "%q; must be %s or %s", record.State, Ready, Draining)
	checks.Refuse(record.Born < 0, "born", "must not be negative")
	return record, checks.Err()
}

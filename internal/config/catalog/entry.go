package catalog

import (
	json "github.com/goccy/go-json"
)

// Entry is the value of one key at the revision that wrote it. Deleted marks a tombstone.
type Entry struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// LiveRevision returns the revision that a compare-and-swap of the key must expect: 0 if the key was never written
// or is deleted.
func (e *Entry) LiveRevision() int64 {
	if e == nil || e.Deleted {
		return 0
	}
	return e.Revision
}

// Change is an entry with the revision of the previous change, by which a receiver detects gaps.
type Change struct {
	Entry    Entry `json:"entry"`
	Previous int64 `json:"previous"`
	// More are the other entries that the same revision wrote. If Entry has MarkerKey, they are all entries that
	// differ between the two revisions.
	More []Entry `json:"more,omitempty"`
}

// Entries returns all entries of the change.
func (c Change) Entries() []Entry { return append([]Entry{c.Entry}, c.More...) }

// Marker returns an entry without a value, for a change that advances the revision and has its entries in Change.More.
func Marker(at int64) Entry { return Entry{Key: MarkerKey, Revision: at, Deleted: true} }

// Size returns the total size of the values of a change, in bytes.
func (c Change) Size() int {
	size := 0
	for _, entry := range c.Entries() {
		size += len(entry.Value)
	}
	return size
}

// Snapshot is the whole state, for nodes that are too far behind to be updated by single changes.
type Snapshot struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"entries"`
	// IsStale says that the entries may be older than the revision that the store returned with them.
	IsStale bool `json:"-"`
}

package catalog

import (
	json "github.com/goccy/go-json"
)

// Entry is the value of one key at the revision that wrote it; a tombstone has Deleted set.
type Entry struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// LiveRevision returns the revision that a compare-and-swap of the key must expect: 0 for keys that were never
// written and for deleted ones.
func (e *Entry) LiveRevision() int64 {
	if e == nil || e.Deleted {
		return 0
	}
	return e.Revision
}

// Change is an entry with the revision of the change before it, which reveals gaps.
type Change struct {
	Entry    Entry `json:"entry"`
	Previous int64 `json:"previous"`
	// More are the other entries that the same revision wrote, or, with MarkerKey as the entry, all that differ
	// between the two revisions.
	More []Entry `json:"more,omitempty"`
}

// Entries returns all entries of the change.
func (c Change) Entries() []Entry { return append([]Entry{c.Entry}, c.More...) }

// Marker returns the entry of a change that only advances the revision, to the given one.
func Marker(at int64) Entry { return Entry{Key: MarkerKey, Revision: at, Deleted: true} }

// Size is the size of the values of a change, in bytes.
func (c Change) Size() int {
	size := 0
	for _, entry := range c.Entries() {
		size += len(entry.Value)
	}
	return size
}

// Snapshot is the whole state, for nodes that lack too much for single changes.
type Snapshot struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"entries"`
	// IsStale says that the entries may be older than the revision that the store returned with them.
	IsStale bool `json:"-"`
}

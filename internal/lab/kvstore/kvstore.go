// Package kvstore is a small stand-in for the metadata store of a deployment, for tests and the lab. It provides linearizable
// reads and transactions, long-poll watches, leases, compaction and backups, and injects the faults that a test sets.
//
// A Store keeps its state in memory and serves it through its Handler. It starts no goroutine: expired leases end when the
// next call arrives. A revision of this package is what package platform calls the store's count; it doesn't include the
// epoch.
package kvstore

import (
	"encoding/json"
	"maps"
	"strings"
	"sync"
)

// Item is a key with its value.
type Item struct {
	Key      string `json:"TlsKey"`
	Value    []byte `json:"Value,omitempty"`
	Revision int64  `json:"Revision"`
	Created  int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"gone,omitempty"`
}

// Faults are the faults that the store injects.
type Faults struct {
	// Refuse is the HTTP status of the answer to every call, unless it is 0.
	Refuse int
	// Silent leaves calls unanswered until the caller cancels them.
	Silent bool
	// LoseAnswers applies transactions but closes the connection instead of answering.
	LoseAnswers bool
	// HoldStale answers stale reads from the state at the time when HoldStale was set.
	HoldStale bool
	// SilentWatches hides changes from watches. They return no events when their wait time has passed.
	SilentWatches bool
}

// Store is the stand-in store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]Item
	history   []Item
	compacted int64
	leases    map[int64]lease
	nextLease int64
	changed   chan struct{}
	faults    Faults
	// epoch is incremented by each restore. It is sent to clients unless it is 0.
	epoch  int64
	backup backup
	// stale is the state for stale reads while HoldStale is set.
	stale staleState
}

// staleState is the state at an earlier revision.
type staleState struct {
	revision int64
	items    map[string]Item
}

// New returns an empty store with the given epoch. Epoch 0 is not sent to clients.
func New(epoch int64) *Store {
	return &Store{items: map[string]Item{}, leases: map[int64]lease{}, changed: make(chan struct{}), nextLease: 1, epoch: epoch}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.HoldStale && !s.faults.HoldStale {
		s.stale = staleState{revision: s.revision, items: maps.Clone(s.items)}
	}
	s.faults = faults
}

// Put writes a value as JSON under a key, as operators and leafs do, and returns the new revision.
func (s *Store) Put(key string, value any) int64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // callers pass only values that can be encoded
	}
	return s.PutBytes(key, content)
}

// PutBytes writes bytes, which need not be JSON, under a key and returns the new revision.
func (s *Store) PutBytes(key string, content []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(Item{Key: key, Value: content})
	s.notifyWatches()
	return s.revision
}

// Remove removes a key and returns the new revision.
func (s *Store) Remove(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
	return s.revision
}

// Compact discards the history. Watches from earlier revisions fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notifyWatches()
}

// Item returns the current item of a key, and false if there is none.
func (s *Store) Item(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[key]
	return item, found
}

// Keys returns the keys with a prefix, in no particular order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (s *Store) write(item Item) {
	item.Revision, item.Created = s.revision, s.revision
	if stored, found := s.items[item.Key]; found {
		item.Created = stored.Created
	}
	s.items[item.Key] = item
	s.history = append(s.history, item)
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

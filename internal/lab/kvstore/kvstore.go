// Package kvstore is a small stand-in for the users' metadata store, for tests and the lab: linearizable reads and
// transactions, watches that wait for changes, leases, a history that can be dropped, backups. It injects the faults that a
// test sets.
//
// A Store keeps its state in memory and serves it by the Handler; it starts no goroutine. Leases expire when a call comes
// in.
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

// Faults are the faults of the store.
type Faults struct {
	// Refuse is the status of the answer to every call, unless it is 0.
	Refuse int
	// Silent leaves calls without an answer until the caller gives up.
	Silent bool
	// LoseAnswers makes changes and closes the connection instead of answering.
	LoseAnswers bool
	// HoldStale answers stale reads from the state at the time when it was set.
	HoldStale bool
	// SilentWatches hides changes from watches, which answer without any when their wait is over.
	SilentWatches bool
}

// Store is the stand-in; safe for concurrent use.
type Store struct {
	mutex     sync.Mutex
	revision  int64
	items     map[string]Item
	history   []Item
	compacted int64
	leases    map[int64]lease
	nextLease int64
	changed   chan struct{}
	faults    Faults
	// epoch grows by one with each restore; clients are sent it unless it is 0.
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

// New returns an empty store of an epoch; epoch 0 is not announced to clients.
func New(epoch int64) *Store {
	return &Store{items: map[string]Item{}, leases: map[int64]lease{}, changed: make(chan struct{}), nextLease: 1, epoch: epoch}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.HoldStale && !s.faults.HoldStale {
		s.stale = staleState{revision: s.revision, items: maps.Clone(s.items)}
	}
	s.faults = faults
}

// Put writes a value as JSON under a key, as operators and leafs do, and returns the count.
func (s *Store) Put(key string, value any) int64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // tests pass only values that can be encoded
	}
	return s.PutBytes(key, content)
}

// PutBytes writes bytes, which need not be JSON, under a key and returns the count.
func (s *Store) PutBytes(key string, content []byte) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.write(Item{Key: key, Value: content})
	s.wake()
	return s.revision
}

// Remove removes a key and returns the count.
func (s *Store) Remove(key string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
	return s.revision
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wake()
}

// Item returns a key as it is now.
func (s *Store) Item(key string) (Item, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found := s.items[key]
	return item, found
}

// Keys returns the keys with a prefix, in no order.
func (s *Store) Keys(prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
	if known, found := s.items[item.Key]; found {
		item.Created = known.Created
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

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

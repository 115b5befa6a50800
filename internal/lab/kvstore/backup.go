package kvstore

import (
	"maps"
	"slices"
)

// backup is the whole state of the store at an earlier revision.
type backup struct {
	revision  int64
	items     map[string]Item
	history   []Item
	leases    map[int64]lease
	nextLease int64
}

// Backup saves the state for Restore.
func (s *Store) Backup() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backup = backup{
		revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases), nextLease: s.nextLease,
	}
}

// Restore sets the state back to the last backup, leases included, and starts the next epoch. Counts and lease ids are
// assigned again.
func (s *Store) Restore() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.epoch++
	s.revision, s.nextLease = s.backup.revision, s.backup.nextLease
	s.items, s.leases = maps.Clone(s.backup.items), maps.Clone(s.backup.leases)
	s.history = slices.Clone(s.backup.history)
	s.compacted = min(s.compacted, s.revision)
	s.wake()
}

// Epoch returns the epoch, which grows by one with each restore.
func (s *Store) Epoch() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.epoch
}

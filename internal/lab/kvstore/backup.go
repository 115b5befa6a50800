package kvstore

import (
	"maps"
	"slices"
)

// backup is the whole state at an earlier revision.
type backup struct {
	revision  int64
	items     map[string]Item
	history   []Item
	leases    map[int64]lease
	nextLease int64
}

// Backup keeps the state as it is for Restore.
func (s *Store) Backup() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backup = backup{
		revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases), nextLease: s.nextLease,
	}
}

// Restore brings the store back from the last backup: what was written since is gone, leases too, and revisions and ids of
// leases are given out again.
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

// Epoch gives how often the store was restored.
func (s *Store) Epoch() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.epoch
}

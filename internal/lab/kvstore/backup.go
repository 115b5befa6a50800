package kvstore

import (
	"maps"
	"slices"
)

// backup is a copy of the store's state at an earlier revision.
type backup struct {
	revision  int64
	items     map[string]Item
	history   []Item
	leases    map[int64]lease
	nextLease int64
}

// Backup saves the state for Restore.
func (s *Store) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = backup{
		revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases), nextLease: s.nextLease,
	}
}

// Restore resets the state, including the leases, to the last backup and starts the next epoch. Revisions and lease IDs after
// the backup are assigned again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.revision, s.nextLease = s.backup.revision, s.backup.nextLease
	s.items, s.leases = maps.Clone(s.backup.items), maps.Clone(s.backup.leases)
	s.history = slices.Clone(s.backup.history)
	s.compacted = min(s.compacted, s.revision)
	s.notifyWatches()
}

// Epoch returns the epoch, which each restore increments.
func (s *Store) Epoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

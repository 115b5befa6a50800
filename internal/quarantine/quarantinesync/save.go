package quarantinesync

import (
	"context"
	"maps"
	"slices"
	"time"

	json "github.com/goccy/go-json"
	"github.com/google/uuid"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// saveAll writes the unsaved records that this node is responsible for, and repeats the broadcasts of its own records.
func (s *Sync) saveAll(ctx context.Context) {
	unsaved := s.deps.Register.Unsaved()
	s.dropExpired(unsaved)
	for _, record := range unsaved {
		if !s.isWriter(record) {
			continue
		}
		if record.FoundBy == s.deps.Self.ID && s.isBroadcastDue(record.Fingerprint) {
			s.broadcast(record)
		}
		s.save(ctx, record)
	}
}

// dropExpired drops the times of records that are no longer unsaved, because they expired or were stored.
func (s *Sync) dropExpired(unsaved []quarantine.Record) {
	isUnsaved := map[fingerprint.Fingerprint]bool{}
	for _, record := range unsaved {
		isUnsaved[record.Fingerprint] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isExpired := func(content fingerprint.Fingerprint, _ time.Time) bool { return !isUnsaved[content] }
	maps.DeleteFunc(s.receivedAt, isExpired)
	maps.DeleteFunc(s.broadcastAt, isExpired)
}

// rebroadcastBytesPerSecond limits the repeated broadcasts of one record while the store does not accept it. Small
// fleets repeat them every SaveInterval, large ones less often.
const rebroadcastBytesPerSecond = 128 << 10

// isBroadcastDue reports whether the broadcast of a record may be repeated now, and notes the time if so.
func (s *Sync) isBroadcastDue(content fingerprint.Fingerprint) bool {
	bytes := len(s.deps.Catalog.View().Nodes) * peer.MaxDatagram
	pause := time.Duration(bytes) * time.Second / rebroadcastBytesPerSecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.broadcastAt[content]) < pause {
		return false
	}
	s.broadcastAt[content] = time.Now()
	return true
}

// isWriter decides whether this node writes an unsaved record. The node that found the record writes it at once. The
// aggregators write it in the order of their ranks, each one TakeoverPause later than the one before: the first does so
// one pause after it received the record.
func (s *Sync) isWriter(record quarantine.Record) bool {
	if record.FoundBy == s.deps.Self.ID {
		return true
	}
	isSelf := func(node catalog.NodeRecord) bool { return node.ID == s.deps.Self.ID }
	rank := slices.IndexFunc(s.aggregatorsOf(record.Fingerprint), isSelf)
	if rank < 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.receivedAt[record.Fingerprint]) >= time.Duration(1+rank)*s.deps.Config.TakeoverPause
}

// save writes a record to the store in a new goroutine. If the key already exists, because another node wrote it or the
// answer to an earlier write was lost, the record counts as saved.
func (s *Sync) save(ctx context.Context, record quarantine.Record) {
	if !s.claimSave(record.Fingerprint) {
		return
	}
	s.calls.Go(func() {
		s.evictOldest(ctx)
		_, err := s.write(ctx, record, 0)
		if failure.Is(err, failure.RevisionConflict) {
			err = nil // the record has already been written
		}
		if err != nil {
			s.mu.Lock()
			delete(s.savedAtRevision, record.Fingerprint)
			s.mu.Unlock()
		}
		s.deps.Events.Saved(record, err)
	})
}

// claimSave reports whether this node must write a record, and marks it as written. A record is written again only
// after a failed write or a restore of the store.
func (s *Sync) claimSave(content fingerprint.Fingerprint) bool {
	now := s.deps.Catalog.Revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	at, isSaved := s.savedAtRevision[content]
	if isSaved && !revision.IsLater(now, at) {
		return false
	}
	s.savedAtRevision[content] = now
	return true
}

// write writes a record if its key is at the expected revision, 0 if the key must not exist. Otherwise it fails with
// RevisionConflict.
func (s *Sync) write(ctx context.Context, record quarantine.Record, expected int64) (int64, error) {
	document, err := json.Marshal(record)
	if err != nil {
		return 0, failure.Wrap(err, failure.Internal, failure.NotRun, "encode a quarantine record")
	}
	value, err := catalog.NewDocument(uuid.NewString(), document, nil)
	if err != nil {
		return 0, err
	}
	return s.swap(ctx, record, expected, value)
}

// remove removes a record from the store if its key is at the record's revision.
func (s *Sync) remove(ctx context.Context, record quarantine.Record) error {
	_, err := s.swap(ctx, record, record.Revision, nil)
	return err
}

// swap writes a value to a record's key if the key is at the expected revision; a nil value removes the key.
func (s *Sync) swap(ctx context.Context, record quarantine.Record, expected int64, value json.RawMessage) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.deps.Config.CallTimeout)
	defer cancel()
	key := catalog.QuarantineKey(record.Fingerprint.String())
	result, err := s.deps.Store.CompareAndSwap(ctx, key, expected, value, value == nil)
	if err != nil {
		return 0, failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "the store did not confirm the write of a quarantine record")
	}
	if !result.Swapped {
		return 0, failure.New(failure.RevisionConflict, failure.NotRun, "%s is at revision %d, not %d", key, result.Entry.LiveRevision(), expected)
	}
	return result.Entry.Revision, nil
}

// evictOldest removes the oldest record from the store if the number of records has reached MaxRecords. It reports only
// failures.
func (s *Sync) evictOldest(ctx context.Context) {
	records := s.deps.Catalog.View().Quarantine
	if len(records) < s.deps.Limits.MaxRecords {
		return
	}
	var oldest *quarantine.Record
	for _, record := range records {
		if oldest == nil || record.Revision < oldest.Revision {
			oldest = record
		}
	}
	if err := s.remove(ctx, *oldest); err != nil {
		s.deps.Events.Saved(*oldest, err)
	}
}

// RetestDue implements quarantine.Listener. Of all nodes that the request arrives at, only the one whose write the
// store accepts may run the retest.
func (s *Sync) RetestDue(record quarantine.Record) {
	s.enqueue(func(ctx context.Context) {
		s.calls.Go(func() {
			next := record
			next.Retests++
			_, err := s.write(ctx, next, record.Revision)
			if err == nil {
				s.deps.Register.PermitRetest(record.Fingerprint)
			}
			s.deps.Events.Retest(next, err)
		})
	})
}

// RetestAnswered implements quarantine.Listener. It removes the record, so that the request is served normally again.
func (s *Sync) RetestAnswered(record quarantine.Record) {
	s.enqueue(func(ctx context.Context) {
		s.calls.Go(func() {
			current := s.deps.Catalog.Quarantine(record.Fingerprint)
			if current == nil {
				return // the quarantine has already been lifted
			}
			if err := s.remove(ctx, *current); err != nil {
				s.deps.Events.Saved(*current, err)
			}
		})
	})
}

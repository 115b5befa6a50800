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

// saveAll writes the records that the store does not have and that are this node's to write, and tells of its own again.
func (s *Sync) saveAll(ctx context.Context) {
	unsaved := s.deps.Register.Unsaved()
	s.forget(unsaved)
	for _, record := range unsaved {
		if !s.isMine(record) {
			continue
		}
		if record.By == s.deps.Self.ID && s.isTellDue(record.Content) {
			s.tellAll(record)
		}
		s.save(ctx, record)
	}
}

// forget drops what is known of records that lapsed before the store took them.
func (s *Sync) forget(unsaved []quarantine.Record) {
	isUnsaved := map[fingerprint.Fingerprint]bool{}
	for _, record := range unsaved {
		isUnsaved[record.Content] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isOver := func(content fingerprint.Fingerprint, _ time.Time) bool { return !isUnsaved[content] }
	maps.DeleteFunc(s.heardAt, isOver)
	maps.DeleteFunc(s.toldAt, isOver)
}

// tellBytesPerSecond bounds what is told again of one record while the store does not take it. All nodes are told each 0.5 s
// up to 45 of them, each 3.2 s at 300 and each 35 s at 3,300, where every 0.5 s would be 9 MB a second.
const tellBytesPerSecond = 128 << 10

// isTellDue reports whether all nodes are to be told of a record again.
func (s *Sync) isTellDue(content fingerprint.Fingerprint) bool {
	bytes := len(s.deps.Catalog.View().Nodes) * peer.MaximumDatagram
	pause := time.Duration(bytes) * time.Second / tellBytesPerSecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.toldAt[content]) < pause {
		return false
	}
	s.toldAt[content] = time.Now()
	return true
}

// isMine reports whether this node writes a record now: it found it, or who did has not had it written for a while.
func (s *Sync) isMine(record quarantine.Record) bool {
	if record.By == s.deps.Self.ID {
		return true
	}
	isHome := func(node catalog.NodeRecord) bool { return node.ID == s.deps.Self.ID }
	rank := slices.IndexFunc(s.homesOf(record.Content), isHome)
	if rank < 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heardAt[record.Content]) >= time.Duration(1+rank)*s.deps.Config.TakeoverPause
}

// save writes a record to the store beside whatever else is done. A write whose answer is lost may have been made, and is
// made again: the key is there then, by whoever wrote it.
func (s *Sync) save(ctx context.Context, record quarantine.Record) {
	if !s.claimSave(record.Content) {
		return
	}
	s.running.Go(func() {
		s.makeRoom(ctx)
		_, err := s.write(ctx, record, 0)
		if failure.Is(err, failure.RevisionConflict) {
			err = nil // another node was first
		}
		if err != nil {
			s.mu.Lock()
			delete(s.saved, record.Content)
			s.mu.Unlock()
		}
		s.deps.Events.Saved(record, err)
	})
}

// claimSave reports whether a record is to be written, and notes that it is: once for each epoch of the store.
func (s *Sync) claimSave(content fingerprint.Fingerprint) bool {
	now := s.deps.Catalog.Revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	at, isSaved := s.saved[content]
	if isSaved && !revision.IsLater(now, at) {
		return false
	}
	s.saved[content] = now
	return true
}

// write puts a record in place of what is at a revision, 0 for nothing. It fails with RevisionConflict where something
// else is there.
func (s *Sync) write(ctx context.Context, record quarantine.Record, expected int64) (int64, error) {
	document, err := json.Marshal(record)
	if err != nil {
		return 0, failure.Wrap(err, failure.Internal, failure.NotRun, "encode a record of the quarantine")
	}
	value, err := catalog.NewDocument(uuid.NewString(), document, nil)
	if err != nil {
		return 0, err
	}
	return s.swap(ctx, record, expected, value)
}

// remove takes a record out of the store that is at its revision.
func (s *Sync) remove(ctx context.Context, record quarantine.Record) error {
	_, err := s.swap(ctx, record, record.Revision, nil)
	return err
}

// swap puts a value in place of a record, none to remove it.
func (s *Sync) swap(ctx context.Context, record quarantine.Record, expected int64, value json.RawMessage) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.deps.Config.CallTimeout)
	defer cancel()
	key := catalog.QuarantineKey(record.Content.String())
	result, err := s.deps.Store.CompareAndSwap(ctx, key, expected, value, value == nil)
	if err != nil {
		return 0, failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "the store did not confirm a record of the quarantine")
	}
	if !result.Swapped {
		return 0, failure.New(failure.RevisionConflict, failure.NotRun, "%s is at revision %d, not %d", key, result.Entry.LiveRevision(), expected)
	}
	return result.Entry.Revision, nil
}

// makeRoom takes out the oldest record where there are as many as there may be.
func (s *Sync) makeRoom(ctx context.Context) {
	records := s.deps.Catalog.View().Quarantine
	if len(records) < s.deps.Limits.MaximumRecords {
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

// TrialDue implements quarantine.Listener. Of all nodes to which the request comes, the one whose write the store takes
// may try it.
func (s *Sync) TrialDue(record quarantine.Record) {
	s.carry(func(ctx context.Context) {
		s.running.Go(func() {
			next := record
			next.Trials++
			_, err := s.write(ctx, next, record.Revision)
			if err == nil {
				s.deps.Register.PermitTrial(record.Content)
			}
			s.deps.Events.Trial(next, err)
		})
	})
}

// Survived implements quarantine.Listener: the request goes to all leafs again.
func (s *Sync) Survived(record quarantine.Record) {
	s.carry(func(ctx context.Context) {
		s.running.Go(func() {
			current := s.deps.Catalog.Quarantine(record.Content)
			if current == nil {
				return // lifted already
			}
			if err := s.remove(ctx, *current); err != nil {
				s.deps.Events.Saved(*current, err)
			}
		})
	})
}

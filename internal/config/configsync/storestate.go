package configsync

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/portgauge/portgauge/internal/config/store"
	"go.uber.org/zap"
)

// readStore takes the store's whole state, and has what it changed pushed like any change.
func (s *Syncer) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.WatchSilence)
	defer cancel()
	asked, before := s.catalog.Mark(), s.catalog.Revision()
	snapshot, err := s.store.List(ctx, store.Linearizable)
	if err != nil {
		return err
	}
	isTaken := s.catalog.Replace(snapshot)
	switch {
	case isTaken || snapshot.Revision >= before:
		s.catalog.ConfirmSince(asked, 0)
	default:
		// The store does not have what is in force here: that is not shown to be the newest.
		s.reportDropped(snapshot.Revision, before)
	}
	s.markInitialised()
	s.markStoreUp()
	if s.enteredEpoch(before) {
		s.enqueue(epochChange(before, s.catalog.Revision()))
		return nil
	}
	s.enqueueSince(before)
	return nil
}

// errStoreNotNewer ends a try to catch up with the store whose whole state is not newer than what is in force.
var errStoreNotNewer = merry.New("the store's whole state is not newer than the one in force")

// reread takes the whole state of a store that no longer tells of changes. Where that moves nothing on, as with a store
// that went back without saying so, the next try has to wait: without a pause one node made 60 such reads a second.
func (s *Syncer) reread(ctx context.Context) error {
	before := s.catalog.Revision()
	if err := s.readStore(ctx); err != nil {
		return err
	}
	if s.catalog.Revision() == before {
		return errStoreNotNewer
	}
	return nil
}

// enqueueSince has the changes after a revision pushed, unless the node had nothing before.
func (s *Syncer) enqueueSince(revision int64) {
	changes, found := s.catalog.Since(revision)
	if revision == 0 || !found {
		return
	}
	for _, change := range changes {
		s.enqueue(change)
	}
}

// reportDropped counts a whole state that is older than the one in force, and tells of it now and then.
func (s *Syncer) reportDropped(revision, inForce int64) {
	s.dropped()
	s.droppedLog.Do(func() {
		s.logger.Warn("whole state of the store dropped as older", zap.Int64("revision", revision), zap.Int64("in_force", inForce))
	})
}

// markStoreDown notes, and tells once, that the store can't be followed.
func (s *Syncer) markStoreDown(err error) {
	if s.storeDownAt.CompareAndSwap(0, time.Now().UnixNano()) {
		s.logger.Warn("store lost", zap.Error(err), zap.Int64("revision", s.catalog.Revision()))
	}
}

// leaveStoreToWatchers notes that this node need not follow the store, once it knows its zone.
func (s *Syncer) leaveStoreToWatchers() {
	if s.joined.Load() && s.storeDownAt.Swap(0) != 0 {
		s.logger.Info("store left to the watchers of the zone", zap.Int64("revision", s.catalog.Revision()))
	}
}

// markStoreUp notes, and tells once, that the store is followed again.
func (s *Syncer) markStoreUp() {
	if since := s.storeDownAt.Swap(0); since != 0 {
		s.logger.Info("store regained", zap.Duration("after", time.Since(time.Unix(0, since))), zap.Int64("revision", s.catalog.Revision()))
	}
}

// droppedLogInterval is how often a whole state that was dropped is logged at most: a node that reads one again and
// again does so up to 66 times a second.
const droppedLogInterval = time.Second

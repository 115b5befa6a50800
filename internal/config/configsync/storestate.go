package configsync

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/store"
)

// droppedLogInterval is the minimum interval between two log lines about dropped states. A node may drop many states per
// second.
const droppedLogInterval = time.Second

// errStoreNotNewer reports that the store's whole state is not newer than the configuration in force.
var errStoreNotNewer = merry.New("the store's whole state is not newer than the one in force")

// readStore reads the whole state of the store, applies it if it is newer than the configuration in force, and queues
// the push of the difference. A state older than the one in force is dropped and confirms nothing.
func (s *Syncer) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WatchSilence)
	defer cancel()
	requestedAt, before := s.catalog.Instant(), s.catalog.Revision()
	snapshot, err := s.store.List(ctx, store.Linearizable)
	if err != nil {
		return err
	}
	replaced := s.catalog.Replace(snapshot)
	switch {
	case replaced || snapshot.Revision >= before:
		s.catalog.ConfirmSince(requestedAt, 0)
	default:
		// The store lacks changes that are in force on this node, so it doesn't confirm the revision as the newest.
		s.reportDropped(snapshot.Revision, before)
	}
	s.markInitialized()
	s.markStoreUp()
	if s.enteredEpoch(before) {
		s.enqueue(epochChange(before, s.catalog.Revision()))
		return nil
	}
	s.enqueueSince(before)
	return nil
}

// reread reads the whole state of a store that no longer keeps the changes since the revision in force. If the revision
// doesn't advance, for example because the store was rolled back without a new epoch, it returns errStoreNotNewer so that
// the caller backs off.
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

// enqueueSince queues the push of the changes after a revision, unless the node had no configuration before.
func (s *Syncer) enqueueSince(revision int64) {
	changes, found := s.catalog.Since(revision)
	if revision == 0 || !found {
		return
	}
	for _, change := range changes {
		s.enqueue(change)
	}
}

// reportDropped counts a whole state that was dropped because it is older than the one in force, and logs it at a limited
// rate.
func (s *Syncer) reportDropped(revision, inForce int64) {
	s.dropped()
	s.droppedLog.Do(func() {
		s.logger.Warn("dropped a whole state of the store: it is older than the state in force", zap.Int64("revision", revision), zap.Int64("in_force", inForce))
	})
}

// markStoreDown records that the store can't be followed, and logs the first failure. Until it can be followed again,
// the node pulls from other zones.
func (s *Syncer) markStoreDown(err error) {
	if s.storeDownAt.CompareAndSwap(0, time.Now().UnixNano()) {
		s.logger.Warn("the store can't be followed", zap.Error(err), zap.Int64("revision", s.catalog.Revision()))
	}
}

// clearStoreDown clears the failure that markStoreDown recorded if the node has joined its zone. A node that is not the
// first watcher of its zone need not follow the store.
func (s *Syncer) clearStoreDown() {
	if s.joined.Load() && s.storeDownAt.Swap(0) != 0 {
		s.logger.Info("stopped following the store: this node is not the first watcher of its zone", zap.Int64("revision", s.catalog.Revision()))
	}
}

// markStoreUp records that the store can be followed, and logs the recovery.
func (s *Syncer) markStoreUp() {
	if since := s.storeDownAt.Swap(0); since != 0 {
		s.logger.Info("the store can be followed again", zap.Duration("after", time.Since(time.Unix(0, since))), zap.Int64("revision", s.catalog.Revision()))
	}
}

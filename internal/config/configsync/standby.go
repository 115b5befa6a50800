package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/wait"
)

// higherRankedTimeout bounds a standby's pull from a higher-ranked watcher. A healthy node of the zone answers in a few
// milliseconds. A frozen or unreachable one must not delay the check of the store.
const higherRankedTimeout = 150 * time.Millisecond

// standByOnce runs one step of a standby and decides whether it takes over. The standby pulls from the higher-ranked
// watchers, which doesn't load the store. It checks the store itself if it has just become a standby, or if no peer
// confirmed the configuration in force as the newest for checkAfter(rank). A confirmation from any peer proves that a
// higher-ranked watcher works.
func (s *Syncer) standByOnce(ctx context.Context, rank int) error {
	interval := time.Duration(rank) * s.cfg.RetryPause
	s.waitForTurn(ctx, rank, interval)
	if s.rank() != rank {
		return nil
	}
	if !s.confirmedWithin(interval) {
		s.pullFromHigherRanked(ctx, rank)
	}
	if !s.hasReadAsStandby || !s.confirmedWithin(s.checkAfter(rank)) {
		s.hasReadAsStandby = true
		return s.checkStoreAndPush(ctx)
	}
	s.clearStoreDown()
	return nil
}

// waitForTurn waits for an interval, until the store must be checked, or until the node's rank changes.
func (s *Syncer) waitForTurn(ctx context.Context, rank int, interval time.Duration) {
	until := time.Now().Add(min(interval, s.checkAfter(rank)-s.catalog.Age()))
	for left := time.Until(until); left > 0 && s.rank() == rank; left = time.Until(until) {
		if !wait.For(ctx, min(left, s.cfg.RetryPause)) {
			return
		}
	}
}

// checkAfter returns how long the configuration in force may be unconfirmed before a standby of a rank checks the
// store: Config.CheckStoreAfter for the first, and Config.BackupDelay more for each further one, so that usually only one
// standby checks.
func (s *Syncer) checkAfter(rank int) time.Duration {
	return s.cfg.CheckStoreAfter + time.Duration(rank-1)*s.cfg.BackupDelay
}

// confirmedWithin reports whether the configuration in force was confirmed as the newest within the last span.
func (s *Syncer) confirmedWithin(span time.Duration) bool {
	return s.catalog.Age() < span
}

// pullFromHigherRanked pulls from the watchers above a rank, in order, until one answers.
func (s *Syncer) pullFromHigherRanked(ctx context.Context, rank int) {
	watchers := s.watchers()
	for _, watcher := range watchers[:min(rank, len(watchers))] {
		if s.pullFromWatcher(ctx, watcher.Address) {
			return
		}
	}
}

func (s *Syncer) pullFromWatcher(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, higherRankedTimeout)
	defer cancel()
	return s.pullFrom(ctx, address)
}

// checkStoreAndPush applies the changes in the store and queues their push without Config.BackupDelay: the higher-ranked
// watchers already had time to push them.
func (s *Syncer) checkStoreAndPush(ctx context.Context) error {
	before := s.catalog.Revision()
	err := s.checkStore(ctx)
	s.queueUnpushed(before)
	return err
}

// checkStore applies the changes in the store, or its whole state if it no longer keeps them.
func (s *Syncer) checkStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WatchSilence)
	defer cancel()
	err := s.catchUp(ctx)
	if errors.Is(err, store.ErrHistoryGone) {
		return s.reread(ctx)
	}
	return err
}

// enqueuePulled makes a standby push the changes that it pulled after a revision, unless a push delivers them: other
// nodes may lack them too.
func (s *Syncer) enqueuePulled(revision int64) {
	changes, found := s.catalog.Since(revision)
	if s.rank() <= 0 || !found {
		return
	}
	for _, change := range changes {
		s.enqueue(change)
	}
}

// queueUnpushed queues the changes after a revision that no push has delivered yet.
func (s *Syncer) queueUnpushed(revision int64) {
	changes, found := s.catalog.Since(revision)
	if !found {
		return
	}
	for _, change := range changes {
		if !s.isPushed(change) {
			s.queuePush(change)
		}
	}
}

// isPushed reports whether a push delivered a change or a later one.
func (s *Syncer) isPushed(change catalog.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestPushed >= change.Entry.Revision
}

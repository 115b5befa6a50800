package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/wait"
)

// aheadTimeout bounds a pull of a standby from a watcher ahead of it. A healthy node answers across a zone in a
// few milliseconds; one that is frozen or cut off must not delay the check of the store.
const aheadTimeout = 150 * time.Millisecond

// standByOnce is one step of a standby, and decides when it takes over. It pulls from the watchers ahead of it,
// which costs no call of the store, and checks the store itself in two cases: it has just become a standby, or
// the configuration in force was not confirmed as the newest for checkAfter(rank). Such a confirmation, from
// whatever peer, proves that a watcher ahead is alive.
func (s *Syncer) standByOnce(ctx context.Context, rank int) error {
	interval := time.Duration(rank) * s.config.RetryPause
	s.waitForTurn(ctx, rank, interval)
	if s.rank() != rank {
		return nil
	}
	if !s.confirmedWithin(interval) {
		s.pullFromAhead(ctx, rank)
	}
	if !s.hasReadAsStandby || !s.confirmedWithin(s.checkAfter(rank)) {
		s.hasReadAsStandby = true
		return s.checkStore(ctx)
	}
	s.leaveStoreToWatchers()
	return nil
}

// waitForTurn waits for an interval, or until the store must be checked, or until the node's rank changes.
func (s *Syncer) waitForTurn(ctx context.Context, rank int, interval time.Duration) {
	until := time.Now().Add(min(interval, s.checkAfter(rank)-s.catalog.Age()))
	for left := time.Until(until); left > 0 && s.rank() == rank; left = time.Until(until) {
		if !wait.For(ctx, min(left, s.config.RetryPause)) {
			return
		}
	}
}

// checkAfter returns how long the configuration in force may be unconfirmed before a standby of a rank checks
// the store: Config.LookAfter for the first, Config.BackupDelay more for each further one, so that one check
// serves all standbys.
func (s *Syncer) checkAfter(rank int) time.Duration {
	return s.config.LookAfter + time.Duration(rank-1)*s.config.BackupDelay
}

// confirmedWithin reports whether the configuration in force was known to be the newest at some time within the
// last span.
func (s *Syncer) confirmedWithin(span time.Duration) bool {
	return s.catalog.Age() < span
}

// pullFromAhead pulls from the first watcher ahead of a rank that answers.
func (s *Syncer) pullFromAhead(ctx context.Context, rank int) {
	watchers := s.watchers()
	for _, watcher := range watchers[:min(rank, len(watchers))] {
		if s.pullFromWatcher(ctx, watcher.Address) {
			return
		}
	}
}

func (s *Syncer) pullFromWatcher(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aheadTimeout)
	defer cancel()
	return s.pullFrom(ctx, address)
}

// checkStore applies what changed in the store and queues its push without a delay: the watchers ahead had
// theirs.
func (s *Syncer) checkStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.WatchSilence)
	defer cancel()
	before := s.catalog.Revision()
	err := s.catchUp(ctx)
	if errors.Is(err, store.ErrHistoryGone) {
		err = s.reread(ctx)
	}
	s.queueUnpushed(before)
	return err
}

// enqueuePulled makes a standby push what it pulled since a revision if no push brings it: other nodes may lack
// it too.
func (s *Syncer) enqueuePulled(revision int64) {
	changes, found := s.catalog.Since(revision)
	if s.rank() <= 0 || !found {
		return
	}
	for _, change := range changes {
		s.enqueue(change)
	}
}

// queueUnpushed queues those of the changes after a revision that no push has brought yet.
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

// isPushed reports whether a push brought a change or a later one.
func (s *Syncer) isPushed(change catalog.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestPushed >= change.Entry.Revision
}

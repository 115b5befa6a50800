package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/wait"
)

// aheadTimeout bounds the question of a watcher that stands by to one ahead of it. A node that is well
// answers across a zone in a few milliseconds; one that is frozen or cut off must not hold up the look at
// the store.
const aheadTimeout = 150 * time.Millisecond

// standByOnce is a step of a watcher that stands by. It asks those ahead of it for what they have, which costs no
// call of the store, and looks at the store only once nobody's word shows any more that the configuration in
// force was the newest a moment ago: that word, whoever gave it, is the proof that a watcher is well.
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

// waitForTurn waits for an interval, or until it is time to look, or until the node's rank is another.
func (s *Syncer) waitForTurn(ctx context.Context, rank int, interval time.Duration) {
	until := time.Now().Add(min(interval, s.checkAfter(rank)-s.catalog.Age()))
	for left := time.Until(until); left > 0 && s.rank() == rank; left = time.Until(until) {
		if !wait.For(ctx, min(left, s.config.RetryPause)) {
			return
		}
	}
}

// checkAfter gives the watchers of a zone turns, so that one looks for all that stand by.
func (s *Syncer) checkAfter(rank int) time.Duration {
	return s.config.LookAfter + time.Duration(rank-1)*s.config.BackupDelay
}

// confirmedWithin reports whether the configuration in force was the newest at some time in a span that ends
// now.
func (s *Syncer) confirmedWithin(span time.Duration) bool {
	return s.catalog.Age() < span
}

// pullFromAhead takes what the first watcher ahead of a rank has that answers.
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

// look takes from the store what changed and has it pushed at once: the watchers ahead had their time.
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

// enqueuePulled has a watcher that stands by push what it was told since a revision and no push brings it: others
// may lack it as well.
func (s *Syncer) enqueuePulled(revision int64) {
	changes, found := s.catalog.Since(revision)
	if s.rank() <= 0 || !found {
		return
	}
	for _, change := range changes {
		s.enqueue(change)
	}
}

// queueUnpushed has the changes after a revision pushed that no push brought yet.
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

// isPushed reports whether a push brought a change or took it along.
func (s *Syncer) isPushed(change catalog.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestPushed >= change.Entry.Revision
}

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

// standBy is a step of a watcher that stands by. It asks those ahead of it for what they have, which costs no
// call of the store, and looks at the store only once nobody's word shows any more that the configuration in
// force was the newest a moment ago: that word, whoever gave it, is the proof that a watcher is well.
func (s *Syncer) standBy(ctx context.Context, rank int) error {
	interval := time.Duration(rank) * s.config.RetryPause
	s.restAs(ctx, rank, interval)
	if s.rank() != rank {
		return nil
	}
	if !s.confirmedWithin(interval) {
		s.askAhead(ctx, rank)
	}
	if !s.isStandby || !s.confirmedWithin(s.lookAfter(rank)) {
		s.isStandby = true
		return s.look(ctx)
	}
	s.leaveStoreToOthers()
	return nil
}

// restAs waits for an interval, or until it is time to look, or until the node's rank is another.
func (s *Syncer) restAs(ctx context.Context, rank int, interval time.Duration) {
	until := time.Now().Add(min(interval, s.lookAfter(rank)-s.catalog.Age()))
	for left := time.Until(until); left > 0 && s.rank() == rank; left = time.Until(until) {
		if !wait.For(ctx, min(left, s.config.RetryPause)) {
			return
		}
	}
}

// lookAfter gives the watchers of a zone turns, so that one looks for all that stand by.
func (s *Syncer) lookAfter(rank int) time.Duration {
	return s.config.LookAfter + time.Duration(rank-1)*s.config.BackupDelay
}

// confirmedWithin reports whether the configuration in force was the newest at some time in a span that ends
// now.
func (s *Syncer) confirmedWithin(span time.Duration) bool {
	return s.catalog.Age() < span
}

// askAhead takes what the first watcher ahead of a rank has that answers.
func (s *Syncer) askAhead(ctx context.Context, rank int) {
	watchers := s.watchers()
	for _, watcher := range watchers[:min(rank, len(watchers))] {
		if s.askWatcher(ctx, watcher.Address) {
			return
		}
	}
}

func (s *Syncer) askWatcher(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aheadTimeout)
	defer cancel()
	return s.pullFrom(ctx, address)
}

// look takes from the store what changed and has it pushed at once: the watchers ahead had their time.
func (s *Syncer) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.WatchSilence)
	defer cancel()
	before := s.catalog.Revision()
	err := s.catchUp(ctx)
	if errors.Is(err, store.ErrHistoryGone) {
		err = s.readAnew(ctx)
	}
	s.offerUnpushed(before)
	return err
}

// backUpPush has a watcher that stands by push what it was told since a revision and no push brings it: others
// may lack it as well.
func (s *Syncer) backUpPush(revision int64) {
	changes, kept := s.catalog.Since(revision)
	if s.rank() <= 0 || !kept {
		return
	}
	for _, change := range changes {
		s.enqueue(change)
	}
}

// offerUnpushed has the changes after a revision pushed that no push brought yet.
func (s *Syncer) offerUnpushed(revision int64) {
	changes, kept := s.catalog.Since(revision)
	if !kept {
		return
	}
	for _, change := range changes {
		if !s.isPushed(change) {
			s.offerPush(change)
		}
	}
}

// isPushed reports whether a push brought a change or took it along.
func (s *Syncer) isPushed(change catalog.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pushed >= change.Entry.Revision
}

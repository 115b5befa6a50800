package configsync

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// errGap ends a watch whose events do not follow on the revision in force.
var errGap = merry.New("the watch skipped a change")

// errWatchAnew ends the watch of a node that is no longer the first of its zone's watchers, or was suspended.
var errWatchAnew = merry.New("the node's rank as a watcher changed, or the machine was suspended")

// notAWatcher is the rank of a node that does not watch the store.
const notAWatcher = -1

// rank gives this node's place among its zone's watchers, 0 being the one that pushes.
func (s *Syncer) rank() int {
	if !s.settled.Load() {
		return notAWatcher
	}
	self := s.members.Self().ID
	members := s.members.Members()
	own := xxhash.Sum64String(self)
	ahead := 0
	present := false
	for _, member := range members {
		if member.ID == self {
			present = true
			continue
		}
		if xxhash.Sum64String(member.ID) > own {
			ahead++
		}
	}
	if !present || ahead >= s.config.WatchersPerZone {
		return notAWatcher
	}
	return ahead
}

// watchers gives the peer addresses of the zone's watchers, first in rank first.
func (s *Syncer) watchers() []peer.Member {
	ranked := append([]peer.Member(nil), s.members.Members()...)
	sortByWeight(ranked, func(member peer.Member) uint64 { return xxhash.Sum64String(member.ID) })
	return ranked[:min(len(ranked), s.config.WatchersPerZone)]
}

// watchLoop watches the store while this node ranks among the watchers.
func (s *Syncer) watchLoop(ctx context.Context) {
	if !s.readFirst(ctx) {
		return
	}
	retryAfter := s.config.RetryPause
	for {
		rank := s.rank()
		if rank == notAWatcher {
			s.isStandby = false
			s.leaveStoreToOthers()
			if !pause(ctx, s.config.RetryPause) {
				return
			}
			continue
		}
		opened := time.Now()
		err := s.follow(ctx, rank)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrHistoryGone) {
			err = s.readAnew(ctx)
		}
		if err == nil {
			retryAfter = s.config.RetryPause
			continue
		}
		if errors.Is(err, errWatchAnew) {
			continue
		}
		if !errors.Is(err, errNothingNewer) {
			s.storeLost(err)
		}
		if time.Since(opened) > s.config.WatchSilence {
			retryAfter = s.config.RetryPause
		}
		if !pause(ctx, retryAfter) {
			return
		}
		retryAfter = s.backoff(retryAfter)
	}
}

// errNothingNewer ends a try to catch up with the store whose whole state is not newer than what is in force.
var errNothingNewer = merry.New("the store's whole state is not newer than the one in force")

// readAnew takes the whole state of a store that no longer tells of changes. Where that moves nothing on, as with a store
// that went back without saying so, the next try has to wait: without a pause one node made 60 such reads a second.
func (s *Syncer) readAnew(ctx context.Context) error {
	before := s.catalog.Revision()
	if err := s.readStore(ctx); err != nil {
		return err
	}
	if s.catalog.Revision() == before {
		return errNothingNewer
	}
	return nil
}

// follow follows the store as a watcher of a rank does, for some time.
func (s *Syncer) follow(ctx context.Context, rank int) error {
	if rank > 0 {
		return s.standBy(ctx, rank)
	}
	s.isStandby = false
	return s.watchOnce(ctx)
}

// watchOnce reads the whole state if there is none yet, then follows the store's changes.
func (s *Syncer) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !s.initialised.Load() {
		if err := s.readStore(ctx); err != nil {
			return err
		}
	}
	opened, take := time.Now(), s.eventTaker(ctx)
	var heardAfter atomic.Int64
	stopped := make(chan struct{})
	defer close(stopped)
	go s.superviseWatch(stopped, cancel, opened, &heardAfter)
	err := s.store.Watch(ctx, s.catalog.Revision(), store.Primary, func(event store.Event) error {
		heardAfter.Store(int64(time.Since(opened)))
		return take(event)
	})
	if s.rank() != 0 || s.hasWoken.Swap(false) {
		return errWatchAnew
	}
	return err
}

// superviseWatch ends a watch that fell silent, told by how long after it was opened it was heard last, or whose
// node is no longer the first in rank.
func (s *Syncer) superviseWatch(stopped <-chan struct{}, cancel context.CancelFunc, opened time.Time, heardAfter *atomic.Int64) {
	ticker := time.NewTicker(s.config.RetryPause)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
		}
		silent := time.Since(opened) - time.Duration(heardAfter.Load())
		if silent > s.config.WatchSilence || s.rank() != 0 || s.hasWoken.Load() {
			cancel()
			return
		}
	}
}

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
		s.stateDropped(snapshot.Revision, before)
	}
	s.markInitialised()
	s.storeRegained()
	if s.cameToEpoch(before) {
		s.enqueue(epochChange(before, s.catalog.Revision()))
		return nil
	}
	s.enqueueSince(before)
	return nil
}

// enqueueSince has the changes after a revision pushed, unless the node had nothing before.
func (s *Syncer) enqueueSince(revision int64) {
	changes, kept := s.catalog.Since(revision)
	if revision == 0 || !kept {
		return
	}
	for _, change := range changes {
		s.enqueue(change)
	}
}

// stateDropped counts a whole state that is older than the one in force, and tells of it now and then.
func (s *Syncer) stateDropped(revision, inForce int64) {
	s.dropped()
	s.droppedTold.Do(func() {
		s.logger.Warn("whole state of the store dropped as older", zap.Int64("revision", revision), zap.Int64("in_force", inForce))
	})
}

// storeLost notes, and tells once, that the store can't be followed.
func (s *Syncer) storeLost(err error) {
	if s.storeDownAt.CompareAndSwap(0, time.Now().UnixNano()) {
		s.logger.Warn("store lost", zap.Error(err), zap.Int64("revision", s.catalog.Revision()))
	}
}

// leaveStoreToOthers notes that this node need not follow the store, once it knows its zone.
func (s *Syncer) leaveStoreToOthers() {
	if s.settled.Load() && s.storeDownAt.Swap(0) != 0 {
		s.logger.Info("store left to the watchers of the zone", zap.Int64("revision", s.catalog.Revision()))
	}
}

// storeRegained notes, and tells once, that the store is followed again.
func (s *Syncer) storeRegained() {
	if since := s.storeDownAt.Swap(0); since != 0 {
		s.logger.Info("store regained", zap.Duration("after", time.Since(time.Unix(0, since))), zap.Int64("revision", s.catalog.Revision()))
	}
}

// eventTaker gives what takes the events of a watch that begins now: each was asked for when the one before it was taken.
func (s *Syncer) eventTaker(ctx context.Context) func(store.Event) error {
	asked := s.catalog.Mark()
	return func(event store.Event) error {
		since := asked
		asked = s.catalog.Mark()
		return s.takeEvent(ctx, event, since)
	}
}

// takeEvent applies a change and has it pushed, or notes that there is none newer. It was asked for at a mark.
func (s *Syncer) takeEvent(ctx context.Context, event store.Event, asked boottime.Mark) error {
	s.storeRegained()
	if event.Change != nil {
		if !s.catalog.Apply(*event.Change) {
			if err := s.readStore(ctx); err != nil {
				return errors.Join(errGap, err)
			}
		}
		s.enqueue(*event.Change)
	}
	if event.Change == nil && event.Current > s.catalog.Revision() {
		// The store is further than what it told of: the changes between were not watched.
		return s.readStore(ctx)
	}
	if event.Current == s.catalog.Revision() {
		s.catalog.ConfirmSince(asked, 0)
	}
	return nil
}

// enqueue hands a change to the push loop; a watcher in reserve does so after a while, and
// only if the push of the first has not come by then.
func (s *Syncer) enqueue(change catalog.Change) {
	rank := s.rank()
	if rank == notAWatcher {
		return
	}
	if rank == 0 {
		s.offerPush(change)
		return
	}
	time.AfterFunc(time.Duration(rank)*s.config.BackupDelay, func() {
		if !s.isPushed(change) {
			s.offerPush(change)
		}
	})
}

func (s *Syncer) offerPush(change catalog.Change) {
	select {
	case s.pushes <- change:
	default:
		s.relayed("push_overflow")
	}
}

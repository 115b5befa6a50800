package configsync

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// errGap ends a watch whose events do not follow on the revision in force.
var errGap = merry.New("the watch skipped a change")

// errReopenWatch ends the watch of a node that is no longer the first of its zone's watchers, or was suspended.
var errReopenWatch = merry.New("the node's rank as a watcher changed, or the machine was suspended")

// watchLoop watches the store while this node ranks among the watchers.
func (s *Syncer) watchLoop(ctx context.Context) {
	if !s.loadFirstState(ctx) {
		return
	}
	retryAfter := s.config.RetryPause
	for {
		rank := s.rank()
		if rank == notAWatcher {
			s.hasReadAsStandby = false
			s.leaveStoreToWatchers()
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
			err = s.reread(ctx)
		}
		if err == nil {
			retryAfter = s.config.RetryPause
			continue
		}
		if errors.Is(err, errReopenWatch) {
			continue
		}
		if !errors.Is(err, errStoreNotNewer) {
			s.markStoreDown(err)
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

// follow follows the store as a watcher of a rank does, for some time.
func (s *Syncer) follow(ctx context.Context, rank int) error {
	if rank > 0 {
		return s.standByOnce(ctx, rank)
	}
	s.hasReadAsStandby = false
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
	opened, take := time.Now(), s.eventHandler(ctx)
	var heardAfter atomic.Int64
	stopped := make(chan struct{})
	defer close(stopped)
	go s.superviseWatch(stopped, cancel, opened, &heardAfter)
	err := s.store.Watch(ctx, s.catalog.Revision(), store.Primary, func(event store.Event) error {
		heardAfter.Store(int64(time.Since(opened)))
		return take(event)
	})
	if s.rank() != 0 || s.resumed.Swap(false) {
		return errReopenWatch
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
		if silent > s.config.WatchSilence || s.rank() != 0 || s.resumed.Load() {
			cancel()
			return
		}
	}
}

// eventHandler gives what takes the events of a watch that begins now: each was asked for when the one before it was taken.
func (s *Syncer) eventHandler(ctx context.Context) func(store.Event) error {
	asked := s.catalog.Mark()
	return func(event store.Event) error {
		since := asked
		asked = s.catalog.Mark()
		return s.handleEvent(ctx, event, since)
	}
}

// handleEvent applies a change and has it pushed, or notes that there is none newer. It was asked for at a mark.
func (s *Syncer) handleEvent(ctx context.Context, event store.Event, asked boottime.Mark) error {
	s.markStoreUp()
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
		s.queuePush(change)
		return
	}
	time.AfterFunc(time.Duration(rank)*s.config.BackupDelay, func() {
		if !s.isPushed(change) {
			s.queuePush(change)
		}
	})
}

func (s *Syncer) queuePush(change catalog.Change) {
	select {
	case s.pushes <- change:
	default:
		s.relayed("push_overflow")
	}
}

// errCaughtUp ends the watch by which a node brings its state up to date.
var errCaughtUp = merry.New("the state is up to date")

// catchUp takes the changes since the revision in force.
func (s *Syncer) catchUp(ctx context.Context) error {
	take := s.eventHandler(ctx)
	err := s.store.Watch(ctx, s.catalog.Revision(), store.Standby, func(event store.Event) error {
		if err := take(event); err != nil {
			return err
		}
		if s.catalog.Revision() < event.Current {
			return nil
		}
		return errCaughtUp
	})
	if errors.Is(err, errCaughtUp) {
		return nil
	}
	return err
}

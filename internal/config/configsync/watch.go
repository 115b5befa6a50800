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

// errGap ends a watch whose events don't follow the revision in force.
var errGap = merry.New("the watch of the store skipped a change")

// errReopenWatch ends the watch of a node that is no longer the first watcher or whose machine was suspended.
var errReopenWatch = merry.New("the node's rank as a watcher changed, or the machine was suspended")

// errCaughtUp ends the watch with which a node catches up with the store.
var errCaughtUp = merry.New("the state is up to date")

// watchLoop loads the first state, whatever the node's rank, and then follows the store as the rank demands. After an
// error it retries with exponential backoff between Config.RetryPause and Config.MaxRetryPause. The backoff is reset
// after a watch that lasted longer than Config.WatchSilence.
func (s *Syncer) watchLoop(ctx context.Context) {
	if !s.loadFirstState(ctx) {
		return
	}
	retryAfter := s.cfg.RetryPause
	for {
		opened := time.Now()
		err := s.follow(ctx, s.rank())
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrHistoryGone) {
			err = s.reread(ctx)
		}
		if err == nil {
			retryAfter = s.cfg.RetryPause
			continue
		}
		if errors.Is(err, errReopenWatch) {
			continue
		}
		if !errors.Is(err, errStoreNotNewer) {
			s.markStoreDown(err)
		}
		if time.Since(opened) > s.cfg.WatchSilence {
			retryAfter = s.cfg.RetryPause
		}
		if !pause(ctx, retryAfter) {
			return
		}
		retryAfter = s.backoff(retryAfter)
	}
}

// follow follows the store until the watch ends if the node is the first watcher. A standby, and a node that is not a
// watcher, run one step.
func (s *Syncer) follow(ctx context.Context, rank int) error {
	if rank > 0 {
		return s.standByOnce(ctx, rank)
	}
	s.hasReadAsStandby = false
	if rank == notAWatcher {
		return s.waitUnranked(ctx)
	}
	return s.watchOnce(ctx)
}

// watchOnce reads the whole state if the node has none, then applies the store's changes until the watch ends.
func (s *Syncer) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !s.initialized.Load() {
		if err := s.readStore(ctx); err != nil {
			return err
		}
	}
	opened, handle := time.Now(), s.eventHandler(ctx)
	var lastEvent atomic.Int64
	stopped := make(chan struct{})
	defer close(stopped)
	go s.superviseWatch(stopped, cancel, opened, &lastEvent)
	err := s.store.Watch(ctx, s.catalog.Revision(), store.Primary, func(event store.Event) error {
		lastEvent.Store(int64(time.Since(opened)))
		return handle(event)
	})
	if s.rank() != 0 || s.resumed.Swap(false) {
		return errReopenWatch
	}
	return err
}

// superviseWatch cancels a watch if no event arrived for Config.WatchSilence, the node is no longer the first watcher, or
// the machine was suspended. lastEvent is the time from opening the watch to its last event, in nanoseconds.
func (s *Syncer) superviseWatch(stopped <-chan struct{}, cancel context.CancelFunc, opened time.Time, lastEvent *atomic.Int64) {
	ticker := time.NewTicker(s.cfg.RetryPause)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
		}
		silent := time.Since(opened) - time.Duration(lastEvent.Load())
		if silent > s.cfg.WatchSilence || s.rank() != 0 || s.resumed.Load() {
			cancel()
			return
		}
	}
}

// eventHandler returns the handler of a watch that starts now. Each event counts as requested when the previous event was
// received, which bounds the age of the revision that it confirms.
func (s *Syncer) eventHandler(ctx context.Context) func(store.Event) error {
	requestedAt := s.catalog.Instant()
	return func(event store.Event) error {
		since := requestedAt
		requestedAt = s.catalog.Instant()
		return s.handleEvent(ctx, event, since)
	}
}

// handleEvent applies a change and queues its push, or records that the revision in force is the newest. requestedAt is
// when the event was requested.
func (s *Syncer) handleEvent(ctx context.Context, event store.Event, requestedAt boottime.Instant) error {
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
		// The store is ahead of the changes that the watch delivered.
		return s.readStore(ctx)
	}
	if event.Current == s.catalog.Revision() {
		s.catalog.ConfirmSince(requestedAt, 0)
	}
	return nil
}

// enqueue schedules the push of a change. The first watcher pushes at once, a standby of rank n after n times
// Config.BackupDelay unless a push has delivered the change by then. Other nodes don't push.
func (s *Syncer) enqueue(change catalog.Change) {
	rank := s.rank()
	if rank == notAWatcher {
		return
	}
	if rank == 0 {
		s.queuePush(change)
		return
	}
	time.AfterFunc(time.Duration(rank)*s.cfg.BackupDelay, func() {
		if !s.isPushed(change) {
			s.queuePush(change)
		}
	})
}

// queuePush sends a change to the push loop without blocking. A change that doesn't fit the queue is dropped.
func (s *Syncer) queuePush(change catalog.Change) {
	select {
	case s.pushes <- change:
	default:
		s.relayed("push_overflow")
	}
}

// catchUp applies the changes between the revision in force and the store's current one.
func (s *Syncer) catchUp(ctx context.Context) error {
	handle := s.eventHandler(ctx)
	err := s.store.Watch(ctx, s.catalog.Revision(), store.Standby, func(event store.Event) error {
		if err := handle(event); err != nil {
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

package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/wait"
)

const (
	// firstPullPause is the pause between two pulls from the seeds: about the time that a seed takes to read the
	// store when a whole fleet starts.
	firstPullPause = 40 * time.Millisecond
	// firstPullTimeout bounds one pull from a seed, which may be dead. A healthy one needs a tenth of it for a
	// state of 0.5 MB.
	firstPullTimeout = 250 * time.Millisecond
)

// loadFirstState decides where a node that starts gets its first state, and loads it. The node does so whether
// it will be a watcher or not: joining its zone takes longer, and it can't serve before. It returns false when
// the context ended.
//
// Seeds read the store at once. Other nodes pull from the seeds, and read the store as well if none has answered
// after firstReadDelay: a seed may be dead or start later. The first success ends the other attempts, so that a
// fleet that starts together mostly loads its state from peers instead of reading the store once a node.
func (s *Syncer) loadFirstState(ctx context.Context) bool {
	first, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-s.ready:
			stop()
		case <-first.Done():
		}
	}()
	if !s.isSeed() {
		go s.pullFromSeeds(first)
		wait.For(first, s.firstReadDelay())
	}
	retryAfter := s.config.RetryPause
	for read := s.readStale; !s.initialised.Load(); read = s.readStore {
		err := read(first)
		if err == nil || s.initialised.Load() {
			break
		}
		s.markStoreDown(err)
		if !pause(first, retryAfter) && ctx.Err() != nil {
			return false
		}
		retryAfter = s.backoff(retryAfter)
	}
	return ctx.Err() == nil
}

// firstReadDelay returns half to all of Config.FirstReadDelay, at random, so that nodes that start together
// don't read the store together.
func (s *Syncer) firstReadDelay() time.Duration {
	return time.Duration((0.5 + rand.Float64()/2) * float64(s.config.FirstReadDelay))
}

// isSeed reports whether this node is one of the seeds.
func (s *Syncer) isSeed() bool { return slices.Contains(s.currentSeeds(), s.transport.Address()) }

// pullFromSeeds pulls from random seeds until the node has its first state or the context ends.
func (s *Syncer) pullFromSeeds(ctx context.Context) {
	for !s.initialised.Load() {
		seeds := s.currentSeeds()
		if len(seeds) > 0 {
			s.pullFromSeed(ctx, seeds[rand.IntN(len(seeds))])
		}
		if !wait.For(ctx, firstPullPause) {
			return
		}
	}
}

// pullFromSeed pulls from one seed.
func (s *Syncer) pullFromSeed(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, firstPullTimeout)
	defer cancel()
	s.pullFrom(ctx, seed)
}

// readStale reads the store's whole state in the form that costs the store least: a stale state, brought up to
// date by the changes since.
func (s *Syncer) readStale(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.WatchSilence)
	defer cancel()
	snapshot, err := s.store.List(ctx, store.Stale)
	if err != nil {
		return err
	}
	s.catalog.Replace(snapshot)
	if err := s.catchUp(ctx); err != nil {
		if ctx.Err() != nil {
			return err // the context ended, or a peer was faster
		}
		s.logger.Info("stale state can't be brought up to date; reading the newest", zap.Error(err))
		return s.readStore(ctx)
	}
	s.markInitialised()
	s.markStoreUp()
	return nil
}

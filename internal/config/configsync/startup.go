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
	// firstPullPause is the pause between two pulls from the seeds, about the time in which a seed reads the store when
	// a whole fleet starts.
	firstPullPause = 40 * time.Millisecond
	// firstPullTimeout bounds one pull from a seed, which may be down. A healthy seed sends a state of 0.5 MB in a tenth
	// of it.
	firstPullTimeout = 250 * time.Millisecond
)

// loadFirstState loads the first state without waiting until the node has joined its zone and has a rank: it can't serve
// without a state. It returns false if the context is done. Seeds read the store at once. Others pull from the seeds, and
// also read the store if no seed answers within firstReadDelay: a seed may be down or start later. The first success
// cancels the other attempts, so most nodes of a fleet that starts at once load their state from peers, not the store.
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
	retryAfter := s.cfg.RetryPause
	for read := s.readStale; !s.initialized.Load(); read = s.readStore {
		err := read(first)
		if err == nil || s.initialized.Load() {
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

// firstReadDelay returns a random delay between half of Config.FirstReadDelay and all of it, so that nodes that start
// together don't read the store together.
func (s *Syncer) firstReadDelay() time.Duration {
	return time.Duration((0.5 + rand.Float64()/2) * float64(s.cfg.FirstReadDelay))
}

// isSeed reports whether this node is one of the seeds.
func (s *Syncer) isSeed() bool { return slices.Contains(s.currentSeeds(), s.transport.Address()) }

// pullFromSeeds pulls from random seeds until the node has its first state or the context is done.
func (s *Syncer) pullFromSeeds(ctx context.Context) {
	for !s.initialized.Load() {
		seeds := s.currentSeeds()
		if len(seeds) > 0 {
			s.pullFromSeed(ctx, seeds[rand.IntN(len(seeds))])
		}
		if !wait.For(ctx, firstPullPause) {
			return
		}
	}
}

// pullFromSeed pulls from one seed, within firstPullTimeout.
func (s *Syncer) pullFromSeed(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, firstPullTimeout)
	defer cancel()
	s.pullFrom(ctx, seed)
}

// readStale reads the store's whole state at the lowest cost to the store: a stale read, followed by the changes since.
func (s *Syncer) readStale(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WatchSilence)
	defer cancel()
	snapshot, err := s.store.List(ctx, store.Stale)
	if err != nil {
		return err
	}
	s.catalog.Replace(snapshot)
	if err := s.catchUp(ctx); err != nil {
		if ctx.Err() != nil {
			return err // the context is done, or a peer was faster
		}
		s.logger.Info("can't catch up from a stale read of the store; reading the newest state", zap.Error(err))
		return s.readStore(ctx)
	}
	s.markInitialized()
	s.markStoreUp()
	return nil
}

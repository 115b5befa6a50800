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
	// firstPullPause is the pause between two rounds of asking the seeds: about what a node takes to
	// read the store when all start together.
	firstPullPause = 40 * time.Millisecond
	// firstPullTimeout bounds one pull from a seed. A seed may be dead without a sign; one that is well
	// gives a state of 0.5 MB in a tenth of this.
	firstPullTimeout = 250 * time.Millisecond
)

// loadFirstState gets the node's first state, from a peer or the store. A node that starts does so whether it
// will be a watcher or not: joining its zone takes longer, and until then it can't serve. It reports
// false when the context ended.
//
// Seeds read the store at once. The others ask them first, and read the store too if none has answered
// after a short delay: a seed may be dead, or start later than they. Whichever comes first ends the
// other, so that a fleet that starts together mostly takes its state from peers: at 295 nodes reading
// the store would be over 100 MB.
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

// firstReadDelay differs between nodes, so that those that start together don't read together.
func (s *Syncer) firstReadDelay() time.Duration {
	return time.Duration((0.5 + rand.Float64()/2) * float64(s.config.FirstReadDelay))
}

// isSeed reports whether others are told to join through this node.
func (s *Syncer) isSeed() bool { return slices.Contains(s.currentSeeds(), s.transport.Address()) }

// pullFromSeeds asks the seeds until the node has its first state or the context ends.
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

// pullFromSeed asks one seed.
func (s *Syncer) pullFromSeed(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, firstPullTimeout)
	defer cancel()
	s.pullFrom(ctx, seed)
}

// readStale takes the store's whole state at a price that a fleet can pay which starts together: a
// stale state, brought up to date by what changed since.
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
			return err // over, or a peer was faster
		}
		s.logger.Info("stale state can't be brought up to date; reading the newest", zap.Error(err))
		return s.readStore(ctx)
	}
	s.markInitialised()
	s.markStoreUp()
	return nil
}

package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/store"
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

// errCaughtUp ends the watch by which a node brings a stale state up to date.
var errCaughtUp = merry.New("the state is up to date")

// readFirst gets the node's first state, from a peer or the store. A node that starts does so whether it
// will be a watcher or not: joining its zone takes longer, and until then it can't serve. It reports
// false when the context ended.
//
// Seeds read the store at once. The others ask them for a while first, so that a fleet that starts
// together reads the store a few times, not once a node: at 295 nodes that would be over 100 MB.
func (s *Syncer) readFirst(ctx context.Context) bool {
	if !s.isSeed() && !s.pullFirst(ctx) {
		return false
	}
	retryAfter := s.config.RetryPause
	for read := s.readAtStart; !s.initialised.Load(); read = s.readStore {
		err := read(ctx)
		if err == nil {
			break
		}
		s.storeLost(err)
		if !pause(ctx, retryAfter) {
			return false
		}
		retryAfter = s.backoff(retryAfter)
	}
	return ctx.Err() == nil
}

// currentSeeds gives the peer addresses to join through.
func (s *Syncer) currentSeeds() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.seeds)
}

// isSeed reports whether others are told to join through this node.
func (s *Syncer) isSeed() bool { return slices.Contains(s.currentSeeds(), s.transport.Address()) }

// pullFirst asks the seeds, and leaves time for a pull that follows on joining the zone, until the node
// has its first state or is to read the store: after a time that differs between nodes. It reports
// false when the context ended.
func (s *Syncer) pullFirst(ctx context.Context) bool {
	within := time.Duration((0.5 + rand.Float64()/2) * float64(s.config.FirstReadDelay))
	readAt := time.Now().Add(within)
	for !s.initialised.Load() && s.rank() == notAWatcher && time.Now().Before(readAt) {
		seeds := s.currentSeeds()
		if len(seeds) > 0 {
			s.pullFirstFrom(ctx, seeds[rand.IntN(len(seeds))], readAt)
		}
		if s.initialised.Load() {
			break
		}
		if !wait.For(ctx, min(firstPullPause, max(0, time.Until(readAt)))) {
			return false
		}
	}
	return ctx.Err() == nil
}

// pullFirstFrom asks one seed, at most until the node is to read the store.
func (s *Syncer) pullFirstFrom(ctx context.Context, seed string, readAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, min(firstPullTimeout, time.Until(readAt)))
	defer cancel()
	s.pullFrom(ctx, seed)
}

// readAtStart takes the store's whole state at a price that a fleet can pay which starts together: a
// stale state, brought up to date by what changed since.
func (s *Syncer) readAtStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.WatchSilence)
	defer cancel()
	snapshot, err := s.store.List(ctx, store.Stale)
	if err != nil {
		return err
	}
	s.catalog.Replace(snapshot)
	if err := s.catchUp(ctx); err != nil {
		s.logger.Info("stale state can't be brought up to date; reading the newest", zap.Error(err))
		return s.readStore(ctx)
	}
	s.markInitialised()
	s.storeRegained()
	return nil
}

// catchUp takes the changes since the revision in force.
func (s *Syncer) catchUp(ctx context.Context) error {
	err := s.store.Watch(ctx, s.catalog.Revision(), store.Primary, func(event store.Event) error {
		if err := s.takeEvent(ctx, event); err != nil {
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

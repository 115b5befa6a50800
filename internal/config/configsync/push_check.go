package configsync

import (
	"context"
	"math"
	"sync"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/wait"
)

// checkPushLater has a watcher that stands by, once it pushed, look after that push: it pushes only where the
// push of the watchers ahead failed, and what failed that one may fail its own. A node that relays a push and
// reaches half of the zone only leaves the other half without it.
func (s *Syncer) checkPushLater(ctx context.Context) {
	if s.rank() <= 0 || !s.checkingPush.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.checkingPush.Store(false)
		if wait.For(ctx, s.config.PushInterval) {
			s.checkPush(ctx)
		}
	}()
}

// checkPush asks every member of the zone how far it is, some at a time.
func (s *Syncer) checkPush(ctx context.Context) {
	var asked sync.WaitGroup
	for _, branch := range split(s.otherAddresses(), s.config.FanOut) {
		asked.Go(func() {
			for _, address := range branch {
				s.repairMember(ctx, address)
			}
		})
	}
	asked.Wait()
}

// repairMember hands a member what it lacks.
func (s *Syncer) repairMember(ctx context.Context, address string) {
	revision, found := s.revisionOf(ctx, address)
	if !found || revision >= s.catalog.Revision() {
		return
	}
	changes, found := s.catalog.Since(revision)
	if !found || len(changes) == 0 {
		return // it asks for the whole state by itself
	}
	batch, err := peer.PackBatch(changes[:prefixWithin(changes, maximumBatch, batchBytes)])
	if err == nil {
		s.sendPush(ctx, address, peer.Push{Batch: batch})
	}
}

// revisionOf asks a member for the revision that it has in force.
func (s *Syncer) revisionOf(ctx context.Context, address string) (revision int64, found bool) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Pull: &peer.Pull{After: afterAll}})
	if err != nil || answer.State == nil || !answer.State.Initialised {
		return 0, false
	}
	return answer.State.Revision, true
}

// afterAll asks for the changes after all there can be: for none, that is.
const afterAll = math.MaxInt64

package configsync

import (
	"context"
	"math"
	"sync"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/wait"
)

// afterAll is a revision after all others: a pull with it asks for no changes.
const afterAll = math.MaxInt64

// checkPushLater makes a standby that pushed check its push after Config.PushInterval: a standby pushes only if
// the push of a watcher ahead of it failed, and the same cause may make its own fail. A relay that reaches half
// of the zone leaves the other half without the change and without an error.
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

// checkPush asks every member of the zone for its revision, Config.FanOut at a time, and sends those behind what
// they miss.
func (s *Syncer) checkPush(ctx context.Context) {
	var pending sync.WaitGroup
	for _, branch := range split(s.otherAddresses(), s.config.FanOut) {
		pending.Go(func() {
			for _, address := range branch {
				s.repairMember(ctx, address)
			}
		})
	}
	pending.Wait()
}

// repairMember sends a member the changes that it misses.
func (s *Syncer) repairMember(ctx context.Context, address string) {
	revision, found := s.revisionOf(ctx, address)
	if !found || revision >= s.catalog.Revision() {
		return
	}
	changes, found := s.catalog.Since(revision)
	if !found || len(changes) == 0 {
		return // the member pulls the whole state itself
	}
	batch, err := peer.PackBatch(changes[:prefixWithin(changes, maximumBatch, batchBytes)])
	if err == nil {
		s.sendPush(ctx, address, peer.Push{Batch: batch})
	}
}

// revisionOf asks a member for its revision in force.
func (s *Syncer) revisionOf(ctx context.Context, address string) (revision int64, found bool) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Pull: &peer.Pull{After: afterAll}})
	if err != nil || answer.State == nil || !answer.State.Initialised {
		return 0, false
	}
	return answer.State.Revision, true
}

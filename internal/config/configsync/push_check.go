package configsync

import (
	"context"
	"math"
	"sync"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/wait"
)

// afterAll is a revision after all others. A pull with it returns the peer's revision but no changes.
const afterAll = math.MaxInt64

// checkPushLater makes a standby check its push after Config.PushInterval. A standby pushes only if the push of a
// higher-ranked watcher failed, and its own may fail for the same reason. A push that reaches only half of the zone
// causes no error.
func (s *Syncer) checkPushLater(ctx context.Context) {
	if s.rank() <= 0 || !s.checkingPush.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.checkingPush.Store(false)
		if wait.For(ctx, s.cfg.PushInterval) {
			s.checkPush(ctx)
		}
	}()
}

// checkPush queries the revision of every member of the zone, Config.FanOut at a time, and sends the missing changes to
// members that are behind.
func (s *Syncer) checkPush(ctx context.Context) {
	var pending sync.WaitGroup
	for _, branch := range split(s.otherAddresses(), s.cfg.FanOut) {
		pending.Go(func() {
			for _, address := range branch {
				s.repairMember(ctx, address)
			}
		})
	}
	pending.Wait()
}

// repairMember sends a member the changes that it lacks.
func (s *Syncer) repairMember(ctx context.Context, address string) {
	revision, found := s.revisionOf(ctx, address)
	if !found || revision >= s.catalog.Revision() {
		return
	}
	changes, found := s.catalog.Since(revision)
	if !found || len(changes) == 0 {
		return // the member pulls the whole state itself
	}
	batch, err := peer.PackBatch(changes[:prefixWithin(changes, maxBatchChanges, maxBatchBytes)])
	if err == nil {
		s.sendPush(ctx, address, peer.Push{Batch: batch})
	}
}

// revisionOf queries a member's revision in force.
func (s *Syncer) revisionOf(ctx context.Context, address string) (revision int64, found bool) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Pull: &peer.Pull{After: afterAll}})
	defer answer.Release()
	if err != nil || answer.State == nil || !answer.State.Initialized {
		return 0, false
	}
	return answer.State.Revision, true
}

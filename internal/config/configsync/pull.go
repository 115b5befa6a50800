package configsync

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/memorybudget"
)

// pullTimeoutFactor is the multiple of Config.CallTimeout that bounds a pull, which may transfer the whole state.
const pullTimeoutFactor = 4

// pullFromZone pulls from the watchers, which get configuration first, then from a random member, then from another
// zone.
func (s *Syncer) pullFromZone(ctx context.Context) {
	self := s.members.Self().ID
	for _, watcher := range s.watchers() {
		if watcher.ID != self && s.pullFrom(ctx, watcher.Address) {
			return
		}
	}
	if member, found := s.members.Random(); found && s.pullFrom(ctx, member.Address) {
		return
	}
	// The zone may have no other node, or none with configuration.
	if address, found := s.randomContact(); found {
		s.pullFrom(ctx, address)
	}
}

// pullFrom pulls the changes after the revision in force from a peer, or from the nodes to which the peer refers. It
// reports whether it received configuration. Only one pull runs at a time. A skipped pull is repeated after a later
// digest.
func (s *Syncer) pullFrom(ctx context.Context, address string) bool {
	if !s.pulling.CompareAndSwap(false, true) {
		return false
	}
	defer s.pulling.Store(false)
	if s.initialized.Load() {
		defer s.enqueuePulled(s.catalog.Revision())
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeoutFactor*s.cfg.CallTimeout)
	defer cancel()
	loaded, elsewhere := s.pullOnce(ctx, address)
	for _, other := range elsewhere {
		if loaded || ctx.Err() != nil {
			break
		}
		loaded, _ = s.pullOnce(ctx, other)
	}
	return loaded
}

// pullOnce pulls from one peer. elsewhere are the addresses of other nodes to which the peer refers.
func (s *Syncer) pullOnce(ctx context.Context, address string) (loaded bool, elsewhere []string) {
	s.relayed("pull")
	after, requestedAt := s.catalog.Revision(), s.catalog.Instant()
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Pull: &peer.Pull{After: after}})
	defer answer.Release()
	if err != nil || answer.State == nil || !answer.State.Initialized || s.isLegacy(answer.Digest) {
		return false, nil
	}
	if len(answer.State.Alternatives) > 0 {
		return false, answer.State.Alternatives
	}
	if err := s.applyState(address, *answer.State); err != nil {
		s.logger.Warn("discarded the state of a peer: it can't be decoded", zap.String("peer", address), zap.Error(err))
		return false, nil
	}
	if s.catalog.Revision() >= answer.Digest.Revision {
		s.catalog.ConfirmSince(requestedAt, time.Duration(answer.Digest.AgeMillis)*time.Millisecond)
	}
	s.markInitialized()
	return true, nil
}

// applyState applies the parts of a peer's state that are newer than the configuration in force.
func (s *Syncer) applyState(from string, state peer.State) error {
	if len(state.Snapshot) > 0 {
		account := s.memory.OpenHost(memorybudget.Node, from)
		defer account.Close()
		reservation := account.Reserve()
		defer reservation.Release()
		snapshot, err := state.Snapshot.Unpack(&reservation)
		if err != nil {
			return err
		}
		before := s.catalog.Revision()
		if s.catalog.Replace(snapshot) {
			s.snapshots.cache(snapshot.Revision, state.Snapshot)
			s.enteredEpoch(before)
		}
	}
	s.reorder.apply(s.catalog, state.Changes)
	return nil
}

// HandlePull responds to a pull with the changes that the peer lacks, or with the whole state if they are no longer kept.
func (s *Syncer) HandlePull(from string, pull peer.Pull) peer.State {
	state := peer.State{Initialized: s.initialized.Load(), Revision: s.catalog.Revision()}
	if pull.Retained {
		state.Retained = s.catalog.RetainedInForce()
	}
	changes, found := s.catalog.Since(pull.After)
	if found || !state.Initialized {
		state.Changes = changes
		return state
	}
	served, err := s.snapshots.serve(s.catalog, from)
	if err != nil {
		s.logger.Error("the whole state can't be encoded for a peer", zap.String("peer", from), zap.Error(err))
		return peer.State{}
	}
	// A node that has reached its rate limit and can't refer to others responds as uninitialized.
	served.Initialized = len(served.Snapshot) > 0 || len(served.Alternatives) > 0
	served.Revision = state.Revision
	return served
}

// crossZoneLoop pulls from other zones while this node can't follow the store.
func (s *Syncer) crossZoneLoop(ctx context.Context) {
	for pause(ctx, s.cfg.MaxRetryPause/2) {
		if s.storeDownAt.Load() == 0 {
			continue
		}
		address, found := s.randomContact()
		if !found {
			continue
		}
		before := s.catalog.Revision()
		s.pullFrom(ctx, address)
		s.pushPulled(ctx, before)
	}
}

// pushPulled pushes the changes that were pulled from another zone to the node's own zone.
func (s *Syncer) pushPulled(ctx context.Context, before int64) {
	changes, found := s.catalog.Since(before)
	if !found || len(changes) == 0 {
		return
	}
	for len(changes) > 0 {
		count := prefixWithin(changes, maxBatchChanges, maxBatchBytes)
		s.pushChanges(ctx, changes[:count])
		changes = changes[count:]
	}
}

package configsync

import (
	"context"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/wait"
)

// A node that reads a restored store enters a new epoch. Pushes and digests announce it like any later revision, since
// the revisions of an epoch are greater than all revisions of earlier epochs. No change leads from one epoch to the next,
// so each node loads the whole state and merges it with its own entries, see catalog.RetainedEntry.

// epochChange returns the change that announces a new epoch. It has no entries; a receiver pulls the whole state.
func epochChange(before, now int64) catalog.Change {
	return catalog.Change{Entry: catalog.Marker(now), Previous: before}
}

// enteredEpoch reports whether the node entered a new epoch since a revision, and logs it.
func (s *Syncer) enteredEpoch(before int64) bool {
	now := s.catalog.Revision()
	if before == 0 || !revision.IsLater(now, before) {
		return false
	}
	inForce, all := len(s.catalog.RetainedInForce()), len(s.catalog.RetainedEntries())
	s.logger.Warn("the store was restored", zap.Int64("revision", now), zap.Int64("before", before),
		zap.Int("kept", inForce), zap.Int("leafs_lost", all-inForce))
	return true
}

// leadToNewEpoch reports whether changes lead to a later epoch than the one in force.
func (s *Syncer) leadToNewEpoch(changes []catalog.Change) bool {
	return len(changes) > 0 && revision.IsLater(changes[len(changes)-1].Entry.Revision, s.catalog.Revision())
}

// compareRetained pulls the retained entries of a peer at the same revision if they differ from this node's, one pull at
// a time. A node that started after the restore gets the lost entries this way.
func (s *Syncer) compareRetained(from string, digest peer.Digest) {
	if digest.Retained == 0 || digest.Retained == s.catalog.RetainedFingerprint() || !s.pullingRetained.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.pullingRetained.Store(false)
		s.pullRetained(context.Background(), from)
		wait.For(context.Background(), s.cfg.RetryPause)
	}()
}

// pullRetained pulls the entries that a peer retains and retains them as well.
func (s *Syncer) pullRetained(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	s.relayed("pull")
	pull := peer.Pull{After: s.catalog.Revision(), Retained: true}
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Pull: &pull})
	defer answer.Release()
	if err == nil && answer.State != nil && answer.State.Revision == s.catalog.Revision() {
		s.catalog.Retain(answer.State.Retained)
	}
}

// isLegacy reports whether a digest is from a node of a version without epochs although the store has been restored. The
// revisions of such a node can't be compared with this node's.
func (s *Syncer) isLegacy(digest peer.Digest) bool {
	return !digest.HasEpochs && revision.Epoch(s.catalog.Revision()) > 0
}

// readStoreForLegacy reads the store if a legacy node seems to be ahead. Its state can't be used, but while a fleet is
// upgraded node by node, all watchers of a zone may be legacy nodes.
func (s *Syncer) readStoreForLegacy(digest peer.Digest) {
	if digest.Revision <= revision.Count(s.catalog.Revision()) || !s.readingForLegacy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.readingForLegacy.Store(false)
		if err := s.readStore(context.Background()); err != nil {
			s.logger.Info("the store can't be read; a legacy peer may be ahead of this node", zap.Error(err))
		}
		pause(context.Background(), s.cfg.CheckStoreAfter)
	}()
}

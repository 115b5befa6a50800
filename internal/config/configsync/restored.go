package configsync

import (
	"context"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/wait"
)

// When the store was restored, a node that reads it comes to a new epoch, and the others hear of that as of any later
// revision: it is above all of the epochs before, whatever their counts were. Changes don't lead from one epoch to the next,
// so that each takes the whole state and weighs it against what it knows, see catalog.Kept.

// epochChange gives the change that tells other nodes of a new epoch. It has nothing in it: they find that they can't apply
// it, and ask for the whole state.
func epochChange(before, now int64) catalog.Change {
	return catalog.Change{Entry: catalog.Marker(now), Previous: before}
}

// enteredEpoch logs that the node came to a new epoch, and gives whether it did.
func (s *Syncer) enteredEpoch(before int64) bool {
	now := s.catalog.Revision()
	if before == 0 || !revision.IsLater(now, before) {
		return false
	}
	kept, all := len(s.catalog.RetainedEntries()), len(s.catalog.Retained())
	s.logger.Warn("the store was restored", zap.Int64("revision", now), zap.Int64("before", before),
		zap.Int("kept", kept), zap.Int("leafs_lost", all-kept))
	return true
}

// leadToNewEpoch reports whether changes lead to a later epoch than the one in force.
func (s *Syncer) leadToNewEpoch(changes []catalog.Change) bool {
	return len(changes) > 0 && revision.IsLater(changes[len(changes)-1].Entry.Revision, s.catalog.Revision())
}

// compareRetained asks a peer at the same revision for what it keeps, where that is something else, once at a time: a node that
// started after the restore may have read the store without having known what it lost.
func (s *Syncer) compareRetained(from string, digest peer.Digest) {
	if digest.Retained == 0 || digest.Retained == s.catalog.RetainedFingerprint() || !s.pullingRetained.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.pullingRetained.Store(false)
		s.pullRetained(context.Background(), from)
		wait.For(context.Background(), s.config.RetryPause)
	}()
}

// pullRetained takes what a peer keeps.
func (s *Syncer) pullRetained(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	s.relayed("pull")
	asked := peer.Pull{After: s.catalog.Revision(), Retained: true}
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Pull: &asked})
	if err == nil && answer.State != nil && answer.State.Revision == s.catalog.Revision() {
		s.catalog.Retain(answer.State.Retained)
	}
}

// isLegacy reports whether a digest is of a node that does not count epochs, as the version before this one, while the
// store was restored at some time: its revisions can't be told from those of another epoch.
func (s *Syncer) isLegacy(digest peer.Digest) bool {
	return !digest.CountsEpochs && revision.Epoch(s.catalog.Revision()) > 0
}

// readStoreForLegacy reads the store where a node that does not count epochs seems to be further: nothing can be taken from it,
// and while a fleet is replaced node by node such nodes may be the ones that follow the store for a zone.
func (s *Syncer) readStoreForLegacy(digest peer.Digest) {
	if digest.Revision <= revision.Count(s.catalog.Revision()) || !s.readingForLegacy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.readingForLegacy.Store(false)
		if err := s.readStore(context.Background()); err != nil {
			s.logger.Info("the store can't be read", zap.Error(err))
		}
		pause(context.Background(), s.config.LookAfter)
	}()
}

package configsync

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/memorybudget"
)

// Limits of the changes in one push, in number and bytes. A burst, such as hundreds of leafs leaving together, is best
// pushed at once, but a single change may contain 0.5 MB.
const (
	maxBatchChanges = 512
	maxBatchBytes   = 1 << 20
)

// pushLoop pushes the first change after an idle period within Config.BatchDelay, and the changes of a burst in one
// batch per Config.PushInterval.
func (s *Syncer) pushLoop(ctx context.Context) {
	var lastPush time.Time
	for {
		var batch []catalog.Change
		select {
		case <-ctx.Done():
			return
		case change := <-s.pushes:
			batch = append(batch, change)
		}
		collect := max(s.cfg.BatchDelay, s.cfg.PushInterval-time.Since(lastPush))
		batch = s.collect(batch, collect)
		lastPush = time.Now()
		s.pushChanges(ctx, batch)
		s.checkPushLater(ctx)
	}
}

// collect adds the changes that arrive within a span to a batch.
func (s *Syncer) collect(batch []catalog.Change, span time.Duration) []catalog.Change {
	timer := time.NewTimer(span)
	defer timer.Stop()
	size := batch[0].Size()
	for len(batch) < maxBatchChanges && size < maxBatchBytes {
		select {
		case change := <-s.pushes:
			batch = append(batch, change)
			size += change.Size()
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// pushChanges pushes changes to the zone.
func (s *Syncer) pushChanges(ctx context.Context, changes []catalog.Change) {
	batch, err := peer.PackBatch(changes)
	if err != nil {
		s.logger.Error("changes were not pushed: they can't be encoded", zap.Error(err))
		return
	}
	s.notePushed(changes)
	s.pushToZone(ctx, peer.Push{Batch: batch})
}

// pushToZone starts a push over a random tree of the zone's members. The push is sent only to the root of the tree, a
// different member each time, so that the watcher doesn't carry more load than other nodes.
func (s *Syncer) pushToZone(ctx context.Context, push peer.Push) {
	seed := strconv.FormatInt(time.Now().UnixNano(), 36)
	members := s.otherMembers()
	sortByWeight(members, func(member peer.Member) uint64 { return xxhash.Sum64String(seed + "\x00" + member.ID) })
	push.Subtree = make([]string, len(members))
	for index, member := range members {
		push.Subtree[index] = member.Address
	}
	s.relayOver(ctx, push, 1)
}

// relay sends a push to the first nodes of its subtree, each with a part of the rest.
func (s *Syncer) relay(ctx context.Context, push peer.Push) {
	s.relayOver(ctx, push, s.cfg.FanOut)
}

// relayOver sends a push over the given number of branches. If the first node of a branch does not accept the
// push, this node relays it to the rest of the branch itself.
func (s *Syncer) relayOver(ctx context.Context, push peer.Push, branches int) {
	for _, branch := range split(push.Subtree, branches) {
		go func() {
			rest := push
			rest.Subtree = branch[1:]
			if s.sendPush(ctx, branch[0], rest) {
				return
			}
			s.relayed("push_failed")
			s.relay(ctx, rest)
		}()
	}
}

// sendPush sends a push to a node and reports whether the node accepted it.
func (s *Syncer) sendPush(ctx context.Context, address string, push peer.Push) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	s.relayed("push")
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Push: &push})
	defer answer.Release()
	return err == nil && answer.State != nil
}

// HandlePush applies a push and forwards it.
func (s *Syncer) HandlePush(from string, push peer.Push) peer.State {
	s.lastPushAt.Store(time.Now().UnixNano())
	account := s.memory.OpenHost(memorybudget.Node, from)
	defer account.Close()
	reservation := account.Reserve()
	defer reservation.Release()
	changes, err := push.Batch.Unpack(&reservation)
	if err != nil {
		s.logger.Warn("a push can't be decoded; pulling from its sender", zap.String("peer", from), zap.Error(err))
	}
	anyUnpushed := s.recordNotices(push.Notices, SourcePush)
	if push.WholeZone && !anyUnpushed && err == nil && len(changes) == 0 {
		// All notices have already been pushed to this zone, so forwarding them would only duplicate traffic.
		return peer.State{Initialized: s.initialized.Load(), Revision: s.catalog.Revision()}
	}
	if err == nil && s.leadToNewEpoch(changes) {
		go s.followToEpoch(from, push)
		return peer.State{Initialized: s.initialized.Load(), Revision: s.catalog.Revision()}
	}
	gap := err != nil || !s.reorder.apply(s.catalog, changes)
	s.notePushed(changes)
	if gap {
		go s.pullFrom(context.Background(), from)
	}
	s.forward(push)
	return peer.State{Initialized: s.initialized.Load(), Revision: s.catalog.Revision()}
}

// followToEpoch pulls the whole state of a new epoch from the node that announced it before it forwards the push, so
// that each node pulls from its parent in the tree, which already has the state.
func (s *Syncer) followToEpoch(from string, push peer.Push) {
	s.pullFrom(context.Background(), from)
	s.forward(push)
}

// forward relays a push to the nodes of its subtree or of the whole zone.
func (s *Syncer) forward(push peer.Push) {
	switch {
	case push.WholeZone:
		push.WholeZone = false
		s.pushToZone(context.Background(), push)
	case len(push.Subtree) > 0:
		s.relay(context.Background(), push)
	}
}

// notePushed records the newest revision in a push.
func (s *Syncer) notePushed(changes []catalog.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		s.newestPushed = max(s.newestPushed, change.Entry.Revision)
	}
}

// split divides addresses into at most count branches of nearly equal size. The first address of a branch relays to the
// rest of the branch.
func split(addresses []string, count int) [][]string {
	count = min(count, len(addresses))
	branches := make([][]string, 0, count)
	for index := range count {
		start := index * len(addresses) / count
		end := (index + 1) * len(addresses) / count
		branches = append(branches, addresses[start:end])
	}
	return branches
}

package configsync

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/peer"
)

// maximumBatch bounds the changes in one push.
const maximumBatch = 64

// pushLoop collects changes for a moment and pushes them together.
func (s *Syncer) pushLoop(ctx context.Context) {
	for {
		var batch []catalog.Change
		select {
		case <-ctx.Done():
			return
		case change := <-s.pushes:
			batch = append(batch, change)
		}
		timer := time.NewTimer(s.config.BatchDelay)
		for collecting := true; collecting && len(batch) < maximumBatch; {
			select {
			case change := <-s.pushes:
				batch = append(batch, change)
			case <-timer.C:
				collecting = false
			}
		}
		timer.Stop()
		s.pushToZone(ctx, peer.Push{Changes: batch})
	}
}

// pushToZone starts a push over a tree of the zone's members drawn for this push.
func (s *Syncer) pushToZone(ctx context.Context, push peer.Push) {
	seed := strconv.FormatInt(time.Now().UnixNano(), 36)
	if len(push.Changes) > 0 {
		seed = strconv.FormatInt(push.Changes[0].Entry.Revision, 36)
	}
	self := s.members.Self()
	var members []peer.Member
	for _, member := range s.members.Members() {
		if member.ID != self.ID {
			members = append(members, member)
		}
	}
	sortByWeight(members, func(member peer.Member) uint64 { return xxhash.Sum64String(seed + "\x00" + member.ID) })
	addresses := make([]string, len(members))
	for index, member := range members {
		addresses[index] = member.Address
	}
	s.notePushed(push)
	push.Subtree = addresses
	s.relay(ctx, push)
}

// relay hands a push to the first nodes of its subtree, each with a share of the rest. The
// share of a node that does not take it is relayed from here.
func (s *Syncer) relay(ctx context.Context, push peer.Push) {
	for _, branch := range split(push.Subtree, s.config.FanOut) {
		go func() {
			handed := push
			handed.Subtree = branch[1:]
			if s.handTo(ctx, branch[0], handed) {
				return
			}
			s.relayed("push_failed")
			if len(branch) > 1 {
				s.relay(ctx, handed)
			}
		}()
	}
}

func (s *Syncer) handTo(ctx context.Context, address string, push peer.Push) bool {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	s.relayed("push")
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Push: &push})
	return err == nil && answer.State != nil
}

// HandlePush applies a push and hands it on.
func (s *Syncer) HandlePush(from string, push peer.Push) peer.State {
	gap := false
	for _, change := range push.Changes {
		gap = !s.catalog.Apply(change) || gap
	}
	s.takeNotices(push.Notices)
	s.notePushed(push)
	if gap {
		go s.pullFrom(context.Background(), from)
	}
	switch {
	case push.WholeZone:
		push.WholeZone = false
		s.pushToZone(context.Background(), push)
	case len(push.Subtree) > 0:
		s.relay(context.Background(), push)
	}
	return peer.State{Initialised: s.initialised.Load(), Revision: s.catalog.Revision()}
}

func (s *Syncer) notePushed(push peer.Push) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, change := range push.Changes {
		s.pushed = max(s.pushed, change.Entry.Revision)
	}
}

// split deals addresses into at most count branches of nearly equal size; the first of each
// branch is the one to hand the rest to.
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

// sortByWeight sorts members by falling weight, then by id.
func sortByWeight(members []peer.Member, weight func(peer.Member) uint64) {
	weights := make(map[string]uint64, len(members))
	for _, member := range members {
		weights[member.ID] = weight(member)
	}
	sort.Slice(members, func(i, j int) bool {
		first, second := weights[members[i].ID], weights[members[j].ID]
		if first != second {
			return first > second
		}
		return members[i].ID < members[j].ID
	})
}

package membership

import (
	"sort"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// updateQueue holds the member updates to gossip. Each is sent a bounded number of times, the least sent ones first.
// The owner's lock guards it.
type updateQueue struct {
	items map[string]*memberUpdate // by member ID
}

type memberUpdate struct {
	member        peer.Member
	transmissions int
}

func newUpdateQueue() *updateQueue { return &updateQueue{items: map[string]*memberUpdate{}} }

// add queues an update; it replaces an earlier update of the same member.
func (q *updateQueue) add(member peer.Member) {
	q.items[member.ID] = &memberUpdate{member: member}
}

// next returns up to count updates for one message and removes the ones that were sent maxTransmissions times.
func (q *updateQueue) next(count, maxTransmissions int) []peer.Member {
	if len(q.items) == 0 {
		return nil
	}
	ordered := make([]*memberUpdate, 0, len(q.items))
	for _, item := range q.items {
		ordered = append(ordered, item)
	}
	sort.Slice(ordered, func(i, j int) bool {
		if ordered[i].transmissions != ordered[j].transmissions {
			return ordered[i].transmissions < ordered[j].transmissions
		}
		return ordered[i].member.ID < ordered[j].member.ID
	})
	chosen := make([]peer.Member, 0, count)
	for _, item := range ordered[:min(count, len(ordered))] {
		chosen = append(chosen, item.member)
		item.transmissions++
		if item.transmissions >= maxTransmissions {
			delete(q.items, item.member.ID)
		}
	}
	return chosen
}

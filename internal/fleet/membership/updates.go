package membership

import (
	"sort"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// updateQueue are the member changes to gossip, each a bounded number of times, the least gossiped first. The
// owner's lock guards it.
type updateQueue struct {
	items map[string]*memberUpdate // by member id
}

type memberUpdate struct {
	member peer.Member
	passes int
}

func newUpdateQueue() *updateQueue { return &updateQueue{items: map[string]*memberUpdate{}} }

// add makes a change the newest update of its member.
func (r *updateQueue) add(member peer.Member) {
	r.items[member.ID] = &memberUpdate{member: member}
}

// next returns up to count changes for one message and forgets those that were passed on often enough.
func (r *updateQueue) next(count, maximumPasses int) []peer.Member {
	if len(r.items) == 0 {
		return nil
	}
	ordered := make([]*memberUpdate, 0, len(r.items))
	for _, item := range r.items {
		ordered = append(ordered, item)
	}
	sort.Slice(ordered, func(i, j int) bool {
		if ordered[i].passes != ordered[j].passes {
			return ordered[i].passes < ordered[j].passes
		}
		return ordered[i].member.ID < ordered[j].member.ID
	})
	chosen := make([]peer.Member, 0, count)
	for _, item := range ordered[:min(count, len(ordered))] {
		chosen = append(chosen, item.member)
		item.passes++
		if item.passes >= maximumPasses {
			delete(r.items, item.member.ID)
		}
	}
	return chosen
}

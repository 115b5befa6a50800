package membership

import (
	"sort"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// rumours are the member changes to gossip, each a bounded number of times, the least gossiped first. The
// owner's lock guards it.
type rumours struct {
	items map[string]*rumour // by member id
}

type rumour struct {
	member peer.Member
	passes int
}

func newRumours() *rumours { return &rumours{items: map[string]*rumour{}} }

// add makes a change the newest rumour of its member.
func (r *rumours) add(member peer.Member) {
	r.items[member.ID] = &rumour{member: member}
}

// next returns up to count changes for one message and forgets those that were passed on often enough.
func (r *rumours) next(count, maximumPasses int) []peer.Member {
	if len(r.items) == 0 {
		return nil
	}
	ordered := make([]*rumour, 0, len(r.items))
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

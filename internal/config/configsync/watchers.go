package configsync

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// notAWatcher is the rank of a node that does not watch the store.
const notAWatcher = -1

// rank returns this node's rank as a watcher, or notAWatcher. Members are ranked by the hash of their IDs, highest first,
// and the first Config.WatchersPerZone are the watchers: rank 0 follows the store and pushes changes, the others are
// standbys. Nodes with the same members agree without a message, and the loss of a member changes only the ranks after
// it. A node that has not joined its zone, or isn't a live member, is not a watcher.
func (s *Syncer) rank() int {
	if !s.joined.Load() {
		return notAWatcher
	}
	return s.order().rank(s.cfg.WatchersPerZone)
}

// memberOrder is this node's place in the order in which members become watchers.
type memberOrder struct {
	// isMember is false if this node is not a live member.
	isMember bool
	// ahead counts the members ahead of this node, and aliveAhead those of them that are not suspected.
	ahead, aliveAhead int
}

// rank returns the rank that follows from the order, or notAWatcher.
func (o memberOrder) rank(watchers int) int {
	if !o.isMember || o.ahead >= watchers {
		return notAWatcher
	}
	return o.ahead
}

// order returns this node's place among the members that it knows, whether or not it has joined its zone.
func (s *Syncer) order() memberOrder {
	var order memberOrder
	self := s.members.Self().ID
	own := xxhash.Sum64String(self)
	for _, member := range s.members.Members() {
		if member.ID == self {
			order.isMember = true
			continue
		}
		if xxhash.Sum64String(member.ID) <= own {
			continue
		}
		order.ahead++
		if member.State == peer.Alive {
			order.aliveAhead++
		}
	}
	return order
}

// watchers returns the zone's watchers in rank order.
func (s *Syncer) watchers() []peer.Member {
	ranked := append([]peer.Member(nil), s.members.Members()...)
	sortByWeight(ranked, func(member peer.Member) uint64 { return xxhash.Sum64String(member.ID) })
	return ranked[:min(len(ranked), s.cfg.WatchersPerZone)]
}

// sortByWeight sorts members by weight, highest first, then by ID.
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

package connshare

import (
	"maps"
	"slices"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// quota is how many nodes of one zone have a connection to each leaf, by the leaf's index.
type quota []int

// leafsOf returns the leafs of the node of a rank among the nodes of its zone. Laid side by side, the shares of
// a quota make a row of places, one per connection; every nodes-th place from the rank on is the node's. No share
// is longer than the number of nodes, so that a node has no leaf twice.
func (q quota) leafsOf(rank, nodes int) []int {
	var own []int
	place := 0
	for leaf, share := range q {
		// The first place of the node at or after the start of this share.
		first := place + ((rank-place)%nodes+nodes)%nodes
		if first < place+share {
			own = append(own, leaf)
		}
		place += share
	}
	return own
}

// allotQuotas allots each node of each zone connections to count leafs: those of its zone as far as
// their capacity goes, and then those that have the fewest. First is the leaf that is taken first
// among equals. Capacity, in connections per leaf, is exceeded only if a node would have none.
func allotQuotas(zones map[string]int, leafs []*leafset.Leaf, count, capacity, first int) map[string]quota {
	quotas := make(map[string]quota, len(zones))
	for zone := range zones {
		quotas[zone] = make(quota, len(leafs))
	}
	taken := make([]int, len(leafs))
	takeInTurn(zones, quotas, count, func(zone string) bool {
		return take(quotas[zone], taken, first, func(leaf int) bool {
			return leafs[leaf].Zone == zone && taken[leaf] < capacity && quotas[zone][leaf] < zones[zone]
		})
	})
	takeInTurn(zones, quotas, count, func(zone string) bool {
		return take(quotas[zone], taken, first, func(leaf int) bool { return quotas[zone][leaf] < zones[zone] })
	})
	return quotas
}

// takeInTurn makes zones take one connection after the other, in turn, until each has count per node
// or can't take any more.
func takeInTurn(zones map[string]int, quotas map[string]quota, count int, takeOne func(zone string) bool) {
	open := slices.Sorted(maps.Keys(zones))
	for len(open) > 0 {
		open = slices.DeleteFunc(open, func(zone string) bool {
			return sum(quotas[zone]) >= zones[zone]*count || !takeOne(zone)
		})
	}
}

// take adds the leaf with the fewest connections, among those that may be taken, to a quota; false
// if none may.
func take(quota quota, taken []int, first int, mayTake func(leaf int) bool) bool {
	leaf := leastTaken(taken, first, mayTake)
	if leaf < 0 {
		return false
	}
	quota[leaf]++
	taken[leaf]++
	return true
}

// leastTaken returns the leaf with the fewest connections among those that may be taken; -1 if none
// may.
func leastTaken(taken []int, first int, mayTake func(leaf int) bool) int {
	least := -1
	for offset := range taken {
		leaf := (first + offset) % len(taken)
		if mayTake(leaf) && (least < 0 || taken[leaf] < taken[least]) {
			least = leaf
		}
	}
	return least
}

func sum(quota quota) int {
	total := 0
	for _, share := range quota {
		total += share
	}
	return total
}

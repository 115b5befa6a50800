package connshare

import (
	"maps"
	"slices"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// quota is how many nodes of one zone have a connection to each leaf, by the leaf's index.
type quota []int

// of gives the leafs of the node of a rank among so many of its zone. Laid side by side, the parts of
// a quota make a row of places; a node has the places of its rank in every length of the zone. No part
// is longer than that, so that a node has no leaf twice.
func (q quota) of(rank, nodes int) []int {
	var own []int
	place := 0
	for leaf, part := range q {
		// The first place of the node that is not before this part.
		first := place + ((rank-place)%nodes+nodes)%nodes
		if first < place+part {
			own = append(own, leaf)
		}
		place += part
	}
	return own
}

// dealQuotas deals each node of each zone connections to so many leafs: those of its zone as far as
// their capacity goes, and then those that have the fewest. First is the leaf that is taken first
// among equals. Capacity is exceeded only where a node would have none.
func dealQuotas(zones map[string]int, leafs []*leafset.Leaf, count, capacity, first int) map[string]quota {
	quotas := make(map[string]quota, len(zones))
	for zone := range zones {
		quotas[zone] = make(quota, len(leafs))
	}
	taken := make([]int, len(leafs))
	dealInTurn(zones, quotas, count, func(zone string) bool {
		return take(quotas[zone], taken, first, func(leaf int) bool {
			return leafs[leaf].Zone == zone && taken[leaf] < capacity && quotas[zone][leaf] < zones[zone]
		})
	})
	dealInTurn(zones, quotas, count, func(zone string) bool {
		return take(quotas[zone], taken, first, func(leaf int) bool { return quotas[zone][leaf] < zones[zone] })
	})
	return quotas
}

// dealInTurn lets zones take one connection after the other, in turn, until each has so many a node
// or can't take any more.
func dealInTurn(zones map[string]int, quotas map[string]quota, count int, takeOne func(zone string) bool) {
	open := slices.Sorted(maps.Keys(zones))
	for len(open) > 0 {
		open = slices.DeleteFunc(open, func(zone string) bool {
			return sum(quotas[zone]) >= zones[zone]*count || !takeOne(zone)
		})
	}
}

// take adds the leaf with the fewest connections, among those that may be taken, to a quota; false
// when none may.
func take(quota quota, taken []int, first int, mayTake func(leaf int) bool) bool {
	leaf := leastTaken(taken, first, mayTake)
	if leaf < 0 {
		return false
	}
	quota[leaf]++
	taken[leaf]++
	return true
}

// leastTaken gives the leaf with the fewest connections among those that may be taken; -1 when none
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
	for _, part := range quota {
		total += part
	}
	return total
}

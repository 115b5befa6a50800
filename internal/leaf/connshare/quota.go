package connshare

import (
	"maps"
	"slices"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// quota is the number of nodes of one zone that have a connection to each leaf, by the leaf's index.
type quota []int

// leafsOf returns the indices of the leafs assigned to the node with the given rank among the nodes of its zone. The
// connections of all leafs are numbered consecutively, and the node gets those whose number modulo nodes equals its
// rank. No leaf has more connections than there are nodes, so that a node never gets a leaf twice.
func (q quota) leafsOf(rank, nodes int) []int {
	var own []int
	start := 0
	for leaf, count := range q {
		// first is the number of the node's first connection at or after this leaf's first one.
		first := start + ((rank-start)%nodes+nodes)%nodes
		if first < start+count {
			own = append(own, leaf)
		}
		start += count
	}
	return own
}

// allotQuotas assigns each node of each zone connections to count leafs: first to leafs of its zone within their
// capacity, then to the leafs with the fewest connections. The parameter first is the leaf that is preferred among
// equals. The capacity, in connections per leaf, is exceeded only if a node would otherwise get no connection.
func allotQuotas(zones map[string]int, leafs []*leafset.Leaf, count, capacity, first int) map[string]quota {
	quotas := make(map[string]quota, len(zones))
	for zone := range zones {
		quotas[zone] = make(quota, len(leafs))
	}
	assigned := make([]int, len(leafs))
	assignInTurn(zones, quotas, count, func(zone string) bool {
		return assign(quotas[zone], assigned, first, func(leaf int) bool {
			return leafs[leaf].Zone == zone && assigned[leaf] < capacity && quotas[zone][leaf] < zones[zone]
		})
	})
	assignInTurn(zones, quotas, count, func(zone string) bool {
		return assign(quotas[zone], assigned, first, func(leaf int) bool { return quotas[zone][leaf] < zones[zone] })
	})
	return quotas
}

// assignInTurn assigns one connection to each zone in turn until each zone has count connections per node or none can
// be assigned to it.
func assignInTurn(zones map[string]int, quotas map[string]quota, count int, assignOne func(zone string) bool) {
	open := slices.Sorted(maps.Keys(zones))
	for len(open) > 0 {
		open = slices.DeleteFunc(open, func(zone string) bool {
			return sum(quotas[zone]) >= zones[zone]*count || !assignOne(zone)
		})
	}
}

// assign adds a connection to the leaf with the fewest connections for which mayAssign is true. It returns false if
// there is no such leaf.
func assign(quota quota, assigned []int, first int, mayAssign func(leaf int) bool) bool {
	leaf := leastAssigned(assigned, first, mayAssign)
	if leaf < 0 {
		return false
	}
	quota[leaf]++
	assigned[leaf]++
	return true
}

// leastAssigned returns the index of the leaf with the fewest connections for which mayAssign is true, or -1 if there
// is none.
func leastAssigned(assigned []int, first int, mayAssign func(leaf int) bool) int {
	least := -1
	for offset := range assigned {
		leaf := (first + offset) % len(assigned)
		if mayAssign(leaf) && (least < 0 || assigned[leaf] < assigned[least]) {
			least = leaf
		}
	}
	return least
}

func sum(quota quota) int {
	total := 0
	for _, count := range quota {
		total += count
	}
	return total
}

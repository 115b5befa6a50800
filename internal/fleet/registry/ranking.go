package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// position is the position of a node in the ranking of a topic: by weight, highest first, then by id.
type position struct {
	weight uint64
	id     string
}

func positionOf(topic, id string) position {
	return position{xxhash.Sum64String(topic + "\x00" + id), id}
}

func (p position) compare(other position) int {
	return cmp.Or(cmp.Compare(other.weight, p.weight), cmp.Compare(p.id, other.id))
}

// RendezvousOrder returns nodes in order of rendezvous hash for a topic: the same on all nodes, different for each topic,
// and stable for the remaining nodes when one goes.
func RendezvousOrder(nodes map[string]catalog.NodeRecord, topic string) []catalog.NodeRecord {
	positions := make([]position, 0, len(nodes))
	for id := range nodes {
		positions = append(positions, positionOf(topic, id))
	}
	slices.SortFunc(positions, position.compare)
	ranked := make([]catalog.NodeRecord, len(positions))
	for index, one := range positions {
		ranked[index] = nodes[one.id]
	}
	return ranked
}

// RendezvousRank returns how many nodes come before that of an id in the order of RendezvousOrder; the id need not be among them.
func RendezvousRank(nodes map[string]catalog.NodeRecord, topic, id string) int {
	own := positionOf(topic, id)
	ahead := 0
	for other := range nodes {
		if positionOf(topic, other).compare(own) < 0 {
			ahead++
		}
	}
	return ahead
}

// Fingerprint identifies a set of nodes by a hash. The fingerprint of two disjoint sets is the sum of theirs, so
// that it can be computed in parts.
func Fingerprint(nodes map[string]catalog.NodeRecord) uint64 {
	sum := uint64(0)
	for id := range nodes {
		sum += NodeFingerprint(id)
	}
	return sum
}

// NodeFingerprint returns the fingerprint of a single node.
func NodeFingerprint(id string) uint64 { return xxhash.Sum64String(id) }

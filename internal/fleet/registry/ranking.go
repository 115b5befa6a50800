package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// position is the sort key of a node in the ranking for a topic: by weight in descending order, then by ID.
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

// RendezvousOrder returns nodes in the order of their rendezvous hashes for a topic. The order is the same on all nodes,
// differs between topics, and is stable for the remaining nodes when one is removed.
func RendezvousOrder(nodes map[string]catalog.NodeRecord, topic string) []catalog.NodeRecord {
	positions := make([]position, 0, len(nodes))
	for id := range nodes {
		positions = append(positions, positionOf(topic, id))
	}
	slices.SortFunc(positions, position.compare)
	ranked := make([]catalog.NodeRecord, len(positions))
	for index, p := range positions {
		ranked[index] = nodes[p.id]
	}
	return ranked
}

// RendezvousRank returns how many nodes precede the node with the given ID in RendezvousOrder. The node itself need not
// be in nodes.
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

// Fingerprint returns a hash of a set of nodes. The fingerprint of the union of disjoint sets is the sum of their
// fingerprints, so it can be computed in parts.
func Fingerprint(nodes map[string]catalog.NodeRecord) uint64 {
	sum := uint64(0)
	for id := range nodes {
		sum += NodeFingerprint(id)
	}
	return sum
}

// NodeFingerprint returns the fingerprint of a single node.
func NodeFingerprint(id string) uint64 { return xxhash.Sum64String(id) }

package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// place is where a node stands in the order of a topic: by weight, the highest first, and by id where those are alike.
type place struct {
	weight uint64
	id     string
}

func placeOf(topic, id string) place { return place{xxhash.Sum64String(topic + "\x00" + id), id} }

func (p place) compare(other place) int {
	return cmp.Or(cmp.Compare(other.weight, p.weight), cmp.Compare(p.id, other.id))
}

// Ranked returns nodes in order of rendezvous hash for a topic: the same on all nodes, another for each topic, and
// those that stay keep their order when one goes.
func Ranked(nodes map[string]catalog.NodeRecord, topic string) []catalog.NodeRecord {
	places := make([]place, 0, len(nodes))
	for id := range nodes {
		places = append(places, placeOf(topic, id))
	}
	slices.SortFunc(places, place.compare)
	ranked := make([]catalog.NodeRecord, len(places))
	for index, one := range places {
		ranked[index] = nodes[one.id]
	}
	return ranked
}

// Rank returns how many nodes come before that of an id, in the order of Ranked; the id need not be among them.
func Rank(nodes map[string]catalog.NodeRecord, topic, id string) int {
	own := placeOf(topic, id)
	ahead := 0
	for other := range nodes {
		if placeOf(topic, other).compare(own) < 0 {
			ahead++
		}
	}
	return ahead
}

// Fingerprint tells sets of nodes apart by 64 bits. That of two sets that have no node in common is the sum of
// theirs, so that nodes can be told of in parts.
func Fingerprint(nodes map[string]catalog.NodeRecord) uint64 {
	sum := uint64(0)
	for id := range nodes {
		sum += Mark(id)
	}
	return sum
}

// Mark returns the fingerprint of a single node.
func Mark(id string) uint64 { return xxhash.Sum64String(id) }

package registry

import (
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

func drawNodes(t *rapid.T) map[string]catalog.NodeRecord {
	nodes := map[string]catalog.NodeRecord{}
	for _, id := range rapid.SliceOfNDistinct(rapid.StringMatching("[a-d]{1,4}"), 1, 12, rapid.ID).Draw(t, "ids") {
		nodes[id] = catalog.NodeRecord{ID: id}
	}
	return nodes
}

// A node's rank is its position in the order, even if the node is not one of the given nodes.
func TestRendezvousRankMatchesOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		for rank, node := range RendezvousOrder(nodes, "topic") {
			if got := RendezvousRank(nodes, "topic", node.ID); got != rank {
				t.Fatalf("%s has rank %d at position %d of the order", node.ID, got, rank)
			}
			others := maps.Clone(nodes)
			delete(others, node.ID)
			if got := RendezvousRank(others, "topic", node.ID); got != rank {
				t.Fatalf("%s has rank %d among the others, at position %d of the order", node.ID, got, rank)
			}
		}
	})
}

// The fingerprints of the nodes add up to the fingerprint of their set, unless a node is replaced or counted twice.
func TestFingerprintDistinguishesNodeSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		sum := uint64(0)
		for id := range nodes {
			sum += NodeFingerprint(id)
		}
		if sum != Fingerprint(nodes) {
			t.Fatal("the sum of the nodes' fingerprints is not the fingerprint of the set")
		}
		for id := range nodes {
			if sum-NodeFingerprint(id)+NodeFingerprint("other") == sum || sum+NodeFingerprint(id) == sum {
				t.Fatal("a different set has the same fingerprint")
			}
		}
	})
	is.New(t).Equal(Fingerprint(nil), uint64(0))
}

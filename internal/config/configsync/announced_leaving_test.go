package configsync

import (
	"testing"
	"testing/synctest"
	"time"
)

// knownEverywhereIn is how soon every node must know of a leaf that leaves: the bound of the trace 06-leaving-reply.
const knownEverywhereIn = 5 * time.Second

// A leaf that announces in its replies that it is leaving is known as leaving to the nodes of all zones in time, although the
// machine list doesn't show it and only nodes of one zone have received such a reply. A node of another zone can't rely on a reply
// of its own: it prefers leafs of its own zone, and the few attempts that it makes at this leaf are hedges, which are cancelled,
// and their replies lost, as soon as another leaf answers.
func TestLeafThatAnnouncesLeavingIsKnownInAllZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 8)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		f.nodes["z0-n0"].syncer.LeafDraining("leaf-1")
		time.Sleep(knownEverywhereIn)
		for id, node := range f.nodes {
			node.leafs.mu.Lock()
			_, isLeaving := node.leafs.leaving["leaf-1"]
			node.leafs.mu.Unlock()
			if !isLeaving {
				t.Errorf("%s doesn't know after %s that the leaf leaves", id, knownEverywhereIn)
			}
		}
	})
}

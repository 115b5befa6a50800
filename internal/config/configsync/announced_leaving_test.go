package configsync

import (
	"testing"
	"testing/synctest"
	"time"
)

// noticeDeadline bounds the time until every node has the notice of a leaving leaf.
const noticeDeadline = 5 * time.Second

// If a leaf announces in a response that it is leaving, its notice must reach the nodes of all zones, although only one
// node received the response and the machine list doesn't show the leaf as leaving.
func TestLeafThatAnnouncesLeavingIsKnownInAllZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 8)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		f.nodes["z0-n0"].syncer.LeafAnnouncedLeaving("leaf-1")
		time.Sleep(noticeDeadline)
		for id, node := range f.nodes {
			node.leafs.mu.Lock()
			_, isLeaving := node.leafs.leaving["leaf-1"]
			node.leafs.mu.Unlock()
			if !isLeaving {
				t.Errorf("node %s has no notice of the leaving leaf after %s", id, noticeDeadline)
			}
		}
	})
}

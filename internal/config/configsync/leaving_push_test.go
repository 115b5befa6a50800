package configsync

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// withoutNotice returns the nodes of a zone, or of all zones if zone is empty, that have no notice of a leaving leaf.
func (f *fleet) withoutNotice(zone, leafID string) []string {
	var missing []string
	for id, node := range f.nodes {
		node.leafs.mu.Lock()
		_, found := node.leafs.leaving[leafID]
		node.leafs.mu.Unlock()
		if !found && strings.HasPrefix(id, zone) {
			missing = append(missing, id)
		}
	}
	return missing
}

// nonWatcher returns a node of a zone that is not a watcher.
func (f *fleet) nonWatcher(zone string) *testNode {
	for id, node := range f.nodes {
		if strings.HasPrefix(id, zone) && node.syncer.rank() == notAWatcher {
			return node
		}
	}
	return nil
}

// Guards against relying on gossip alone, which reaches the last nodes of a large zone only after the deadline.
func TestLeafThatAnnouncesLeavingIsKnownInLargeZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 165)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		f.nonWatcher("z0").syncer.LeafAnnouncedLeaving("leaf-1")
		time.Sleep(noticeDeadline)
		is.Equal(f.withoutNotice("z0", "leaf-1"), nil)
	})
}

// A standby distributes the notice in time if the first watcher fails just before a leaf announces that it is leaving.
func TestNoticeIsDistributedInTimeAfterFirstWatcherFails(t *testing.T) {
	for name, end := range firstWatcherFailures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2, 24)
				defer f.stopAll()
				time.Sleep(20 * time.Second)
				announcedTo := f.nonWatcher("z0")
				first := f.firstWatcher("z0")
				defer f.nodes[first].stop()
				end(f, first)
				announcedTo.syncer.LeafAnnouncedLeaving("leaf-1")
				time.Sleep(noticeDeadline)
				is.Equal(f.withoutNotice("", "leaf-1"), nil)
			})
		})
	}
}

// A zone that is unreachable when a leaf announces that it is leaving receives the notice once it is reachable again.
func TestNoticeReachesZoneAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 8)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		f.network.Cut(func(from, to string) bool { return (from[:2] == "z1") != (to[:2] == "z1") })
		f.nodes["z0-n0"].syncer.LeafAnnouncedLeaving("leaf-1")
		time.Sleep(10 * time.Second)
		is.Equal(len(f.withoutNotice("z1", "leaf-1")), 8)
		is.Equal(f.withoutNotice("z2", "leaf-1"), nil)
		f.network.Cut(nil)
		time.Sleep(noticeDeadline)
		is.Equal(f.withoutNotice("", "leaf-1"), nil)
	})
}

// A notice that a leaf announced to one node takes exactly one push per other node. Guards against zones that push a
// notice back to each other.
func TestNoticeIsPushedOncePerNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 10, 12)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		before := f.pushes.Load()
		f.nonWatcher("z0").syncer.LeafAnnouncedLeaving("leaf-1")
		time.Sleep(DefaultConfig().LeavingTTL)
		is.Equal(f.pushes.Load()-before, int64(len(f.nodes)-1))
	})
}

// If a leaf announces to all nodes at once that it is leaving, each zone pushes the notice to its own nodes and at most
// once to each other zone. Guards against a zone that pushes a notice from another zone although it already did so.
func TestZoneDoesNotPushKnownNoticeAgain(t *testing.T) {
	const zones, perZone = 10, 12
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, zones, perZone)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		before := f.pushes.Load()
		for _, node := range f.nodes {
			node.syncer.LeafAnnouncedLeaving("leaf-1")
		}
		time.Sleep(DefaultConfig().LeavingTTL)
		is.True(f.pushes.Load()-before <= zones*(perZone-1)+zones*(zones-1))
	})
}

// Guards against a node that lacks a notice because it started after the notice was distributed.
func TestStartingNodeGetsNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 8)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		f.nodes["z0-n0"].syncer.LeafAnnouncedLeaving("leaf-1")
		time.Sleep(15 * time.Second) // until the gossip has ended
		f.start("z1-n8", "z1")
		time.Sleep(noticeDeadline)
		is.Equal(f.withoutNotice("", "leaf-1"), nil)
	})
}

package configsync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/registry"
)

// Changes reach every node of every zone within a second.
func TestChangesReachEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 20)
		defer f.stopAll()
		f.platform.write(t, "a", 1)
		time.Sleep(15 * time.Second)
		is.Equal(len(f.lagging(1)), 0)
		for number := range 20 {
			revision := f.platform.write(t, "a", uint32(number))
			time.Sleep(time.Second)
			is.Equal(len(f.lagging(revision)), 0)
		}
		// The number of reads of the store depends on the number of watchers, not of nodes.
		is.True(f.platform.lists <= 3*3*DefaultConfig().WatchersPerZone)
	})
}

// If a watch omits changes, the watchers read the store's whole state and push the difference like any other change.
func TestChangeReadFromWholeStateIsPushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 20)
		defer f.stopAll()
		for number := range 30 {
			f.platform.write(t, fmt.Sprintf("service-%d", number), 1)
		}
		time.Sleep(15 * time.Second)
		f.platform.mu.Lock()
		f.platform.omitsChanges = true
		f.platform.mu.Unlock()
		revision := f.platform.write(t, "a", 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(f.lagging(revision)), 0)
		for _, node := range f.nodes {
			is.Equal(node.catalog.View().Services["a"].Revision, revision)
			is.Equal(len(node.catalog.View().Services), 31)
		}
	})
}

// If the first watcher is frozen just before a change, its standby pushes the change.
func TestStandbyPushesWhileFirstWatcherIsFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 12)
		defer f.stopAll()
		time.Sleep(15 * time.Second)
		frozen := ""
		for id, node := range f.nodes {
			if node.syncer.rank() == 0 {
				frozen = id
			}
		}
		f.network.Freeze(frozen, true)
		f.platform.mu.Lock()
		f.platform.cutOff[frozen] = true
		f.platform.mu.Unlock()
		revision := f.platform.write(t, "a", 1)
		time.Sleep(4 * time.Second)
		is.Equal(f.lagging(revision), []string{frozen})
		f.network.Freeze(frozen, false)
		f.platform.mu.Lock()
		f.platform.cutOff[frozen] = false
		f.platform.mu.Unlock()
		time.Sleep(4 * time.Second)
		is.Equal(len(f.lagging(revision)), 0)
	})
}

// Changes reach every node although 30 % of the datagrams are lost and calls in one direction between two groups fail.
func TestChangesReachEveryNodeDespiteLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 16)
		defer f.stopAll()
		time.Sleep(15 * time.Second)
		f.network.SetLoss(0.3)
		f.network.Cut(func(from, to string) bool { return (from < "z0-n2") != (to < "z0-n2") && from > to })
		revision := f.platform.write(t, "a", 1)
		time.Sleep(4 * time.Second)
		is.Equal(len(f.lagging(revision)), 0)
	})
}

// A zone that can't reach the store pulls changes from another zone.
func TestZoneWithoutStorePullsFromOtherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 6)
		defer f.stopAll()
		time.Sleep(15 * time.Second)
		f.platform.mu.Lock()
		for id := range f.nodes {
			f.platform.cutOff[id] = id[:2] == "z1"
		}
		f.platform.mu.Unlock()
		time.Sleep(2 * time.Second)
		revision := f.platform.write(t, "a", 1)
		time.Sleep(4 * time.Second)
		is.Equal(len(f.lagging(revision)), 0)
	})
}

// The notice of a leaf that the machine list shows as leaving reaches the nodes of all zones within 4 s.
func TestLeavingNoticeReachesAllZones(t *testing.T) {
	testLeavingNoticeReachesAllZones(t, func(*fleet) {})
}

// The notice is also pushed if the watcher receives it by gossip before it reads the machine list.
func TestGossipedLeavingNoticeReachesAllZones(t *testing.T) {
	testLeavingNoticeReachesAllZones(t, func(f *fleet) {
		for id, node := range f.nodes {
			if id[:2] == "z0" {
				node.syncer.handleNotices([]peer.LeafNotice{{LeafID: "leaf-1", Millis: DefaultConfig().LeavingTTL.Milliseconds()}})
			}
		}
	})
}

func testLeavingNoticeReachesAllZones(t *testing.T, before func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 8)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		before(f)
		f.platform.mu.Lock()
		f.platform.machines = append(f.platform.machines, machines.Machine{ID: "leaf-1", Zone: "z0", Role: machines.RoleLeaf, State: machines.Leaving})
		f.platform.mu.Unlock()
		time.Sleep(4 * time.Second)
		for _, node := range f.nodes {
			node.leafs.mu.Lock()
			_, noticed := node.leafs.leaving["leaf-1"]
			node.leafs.mu.Unlock()
			is.True(noticed) // every node has the notice
		}
	})
}

// A zone whose nodes never agree on its members still has watchers.
func TestZoneWithUnstableMembershipHasWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 6)
		defer f.stopAll()
		// Each node reaches only the nodes before it, so that no two have the same members.
		f.network.Cut(func(from, to string) bool { return from < to })
		time.Sleep(40 * time.Second)
		for _, node := range f.nodes {
			is.True(node.syncer.joined.Load())
		}
	})
}

func TestStatusCountsByZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 7)
		defer f.stopAll()
		revision := f.platform.write(t, "a", 1)
		time.Sleep(2 * time.Minute)
		for _, zone := range f.nodes["z0-n0"].syncer.Status(t.Context(), revision) {
			is.Equal(zone.Nodes, uint32(7))
			is.Equal(zone.InForce, uint32(7))
		}
	})
}

// A node that has requests of an older rule in flight counts as having the newer revision in force, but not as settled.
func TestStatusCountsSettledNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 7)
		defer f.stopAll()
		revision := f.platform.write(t, "a", 1)
		time.Sleep(2 * time.Minute)
		settled := func(queried int64) (nodes uint32, lowest int64) {
			lowest = queried
			for _, zone := range f.nodes["z0-n0"].syncer.Status(t.Context(), queried) {
				is.Equal(zone.InForce, zone.Nodes)
				nodes += zone.Settled
				lowest = min(lowest, zone.LowestSettled)
			}
			return nodes, lowest
		}
		nodes, lowest := settled(revision)
		is.Equal(nodes, uint32(14))
		is.Equal(lowest, revision)
		f.nodes["z1-n3"].unsettled.Store(revision)
		nodes, lowest = settled(revision)
		is.Equal(nodes, uint32(13))
		is.Equal(lowest, revision-1)
	})
}

// The fingerprint in a status reply covers the registered nodes that answered.
func TestStatusFingerprintsRegisteredNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 7)
		defer f.stopAll()
		registered := map[string]catalog.NodeRecord{}
		for _, id := range []string{"z0-n0", "z0-n5", "z1-n3"} {
			registered[id] = catalog.NodeRecord{ID: id, Address: id}
			f.platform.register(t, registered[id])
		}
		time.Sleep(2 * time.Minute)
		sum := uint64(0)
		for _, zone := range f.nodes["z0-n0"].syncer.Status(t.Context(), 1) {
			sum += zone.Registered
		}
		is.Equal(sum, registry.Fingerprint(registered))
	})
}

func TestSplitKeepsEveryAddressOnce(t *testing.T) {
	is := is.New(t)
	for size := range 30 {
		addresses := make([]string, size)
		for index := range addresses {
			addresses[index] = fmt.Sprint(index)
		}
		var joined []string
		for _, branch := range split(addresses, 4) {
			is.True(len(branch) > 0)
			joined = append(joined, branch...)
		}
		is.Equal(fmt.Sprint(joined), fmt.Sprint(addresses))
	}
}

// The first watcher of a zone watches as primary, the others as standbys.
func TestOnlyFirstWatcherWatchesAsPrimary(t *testing.T) {
	for _, nodes := range []int{1, 2, 12} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, nodes)
			defer f.stopAll()
			f.platform.write(t, "a", 1)
			time.Sleep(time.Minute)
			f.platform.mu.Lock()
			defer f.platform.mu.Unlock()
			count := 0
			for id, node := range f.nodes {
				if node.syncer.rank() != notAWatcher && f.platform.roles[id] == store.Primary {
					count++
				}
			}
			is.Equal(count, 1)
		})
	}
}

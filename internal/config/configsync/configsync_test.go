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

// Changes reach every node of every zone within seconds.
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
		// Reads of the store depend on the watchers, not on the number of nodes.
		is.True(f.platform.lists <= 3*3*DefaultConfig().WatchersPerZone)
	})
}

// The store no longer keeps a change that it has not delivered, so that watchers read its whole state: the
// difference is pushed like any other change, and costs other nodes no more than that.
func TestForgottenChangeIsPushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 20)
		defer f.stopAll()
		for number := range 30 {
			f.platform.write(t, fmt.Sprintf("service-%d", number), 1)
		}
		time.Sleep(15 * time.Second)
		f.platform.mu.Lock()
		f.platform.forgetful = true
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

// The first watcher of each zone freezes just before a change: its standby pushes the change.
func TestFrozenWatcherDoesNotHoldChangesBack(t *testing.T) {
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

// A third of all datagrams is lost and calls between half of the nodes fail: digests make up for that.
func TestLossIsHealed(t *testing.T) {
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

// A zone cut off from the store gets changes from another zone.
func TestZoneWithoutStorePullsFromAnother(t *testing.T) {
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

// The notice of a leaf that leaves by the machine list reaches the nodes of all zones within seconds.
func TestLeavingLeafIsToldToAllZones(t *testing.T) {
	testLeavingLeafIsTold(t, func(*fleet) {})
}

// The same if the watcher that pushes receives the notice by gossip before it reads the machine list.
func TestLeavingLeafHeardByGossipIsToldToAllZones(t *testing.T) {
	testLeavingLeafIsTold(t, func(f *fleet) {
		for id, node := range f.nodes {
			if id[:2] == "z0" {
				node.syncer.handleNotices([]peer.LeafNotice{{LeafID: "leaf-1", Millis: DefaultConfig().LeavingTTL.Milliseconds()}})
			}
		}
	})
}

func testLeavingLeafIsTold(t *testing.T, before func(*fleet)) {
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
			is.True(noticed) // node.id has no notice
		}
	})
}

// A zone whose nodes never agree on its members has watchers all the same.
func TestRestlessZoneHasWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 6)
		defer f.stopAll()
		// Each node knows only those before it, so that no two agree.
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

// A node that still has requests of an older rule in flight has the newer revision in force, but isn't settled
// at it.
func TestStatusCountsSettledNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 7)
		defer f.stopAll()
		revision := f.platform.write(t, "a", 1)
		time.Sleep(2 * time.Minute)
		settled := func(asked int64) (nodes uint32, lowest int64) {
			lowest = asked
			for _, zone := range f.nodes["z0-n0"].syncer.Status(t.Context(), asked) {
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

// The fingerprint in a reply covers the nodes that answered and are registered.
func TestStatusTellsRegisteredNodesApart(t *testing.T) {
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

func TestSplitDealsEveryAddressOnce(t *testing.T) {
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
func TestAllButTheFirstWatcherStandBy(t *testing.T) {
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

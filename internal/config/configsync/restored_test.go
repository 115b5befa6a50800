package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// serviceCount returns the number of services in force on a node.
func (n *testNode) serviceCount() int { return len(n.catalog.View().Services) }

// listCount returns the number of reads of the whole state.
func (p *memoryPlatform) listCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lists
}

// cut sets for which nodes the platform is unreachable.
func (p *memoryPlatform) cut(isCut func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, machine := range p.machines {
		p.cutOff[machine.ID] = isCut(machine.ID)
	}
}

// After a restore of the store, every node enters the new epoch and has changes accepted since in force within 4 s.
// Entries that the store lost stay in force.
func TestRestoreReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 8)
		defer f.stopAll()
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			f.platform.write(t, name, 1)
		}
		time.Sleep(20 * time.Second)
		is.Equal(len(f.lagging(5)), 0)
		f.platform.restore(2)
		accepted := f.platform.write(t, "f", 1)
		is.Equal(accepted, revision.At(1, 3)) // a count that was used before
		time.Sleep(4 * time.Second)
		is.Equal(f.lagging(accepted), nil)
		for _, node := range f.nodes {
			is.Equal(node.serviceCount(), 6)
		}
	})
}

// A zone that was disconnected during the restore, and has a higher count of changes, enters the new epoch once it is
// connected again. No other node goes back.
func TestZoneDisconnectedDuringRestoreCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 4)
		defer f.stopAll()
		for range 5 {
			f.platform.write(t, "a", 1)
		}
		time.Sleep(20 * time.Second)
		f.platform.cut(func(id string) bool { return id[:2] == "z1" })
		f.network.Cut(func(from, to string) bool { return from[:2] != to[:2] })
		f.platform.restore(2)
		accepted := f.platform.write(t, "b", 1)
		time.Sleep(10 * time.Second)
		is.Equal(len(f.lagging(accepted)), 4)
		f.platform.cut(func(string) bool { return false })
		f.network.Cut(nil)
		time.Sleep(60 * time.Second)
		is.Equal(f.lagging(accepted), nil)
	})
}

// A store that was rolled back without a new epoch is read with backoff, and doesn't confirm the revision in force as the
// newest.
func TestUnannouncedStoreRollbackIsReadWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 3)
		defer f.stopAll()
		for range 5 {
			f.platform.write(t, "a", 1)
		}
		time.Sleep(20 * time.Second)
		before := f.platform.listCount()
		f.platform.hidesRestores = true
		f.platform.restore(2)
		time.Sleep(time.Minute)
		reads := f.platform.listCount() - before
		is.True(reads > 0)
		is.True(reads <= 3*60) // one read per second and node
		for _, node := range f.nodes {
			is.Equal(node.catalog.Revision(), int64(5))
			is.True(node.catalog.Age() > 50*time.Second)
		}
	})
}

// A node that starts after the restore and reads the store gets the entries that other nodes retain within 5 s.
func TestNewNodePullsRetainedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 3)
		defer f.stopAll()
		for _, name := range []string{"a", "b", "c"} {
			f.platform.write(t, name, 1)
		}
		time.Sleep(20 * time.Second)
		f.platform.restore(1)
		time.Sleep(3 * time.Second)
		f.start("z0-new", "z0", "z0-new") // is its own seed, so it reads the store
		time.Sleep(5 * time.Second)
		is.Equal(f.nodes["z0-new"].serviceCount(), 3)
	})
}

// A legacy node, which has no epochs, and a node of a later epoch exchange no state, since their revisions can't be
// compared. If the legacy node seems to be ahead, the other one reads the store.
func TestLegacyNodeExchangesNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 2)
		defer f.stopAll()
		f.platform.restore(0)
		f.platform.write(t, "a", 1)
		time.Sleep(20 * time.Second)
		node := f.nodes["z0-n0"]
		handler := NewPeerHandler(node.syncer, Handlers{})
		late := catalog.Change{Entry: catalog.Entry{Key: catalog.ServiceKey("x"), Revision: 2}, Previous: 1}
		batch, err := peer.PackBatch([]catalog.Change{late})
		is.NoErr(err)
		legacy := peer.Digest{Revision: 2}
		answer := handler.HandleCall(t.Context(), peer.Message{From: "old", Digest: legacy, Push: &peer.Push{Batch: batch}})
		is.True(!answer.State.Initialized)
		answer = handler.HandleCall(t.Context(), peer.Message{From: "old", Digest: legacy, Pull: &peer.Pull{After: 0}})
		is.Equal(len(answer.State.Changes)+len(answer.State.Snapshot), 0)
		is.Equal(node.serviceCount(), 1)

		// Reads of the store that don't advance the revision are 0.2 to 2 s apart, however many digests arrive.
		before := f.platform.listCount()
		for range 1000 {
			node.syncer.Receive("old", legacy, nil)
			time.Sleep(10 * time.Millisecond)
		}
		checks := f.platform.listCount() - before
		is.True(checks >= 4)
		is.True(checks <= 10)
	})
}

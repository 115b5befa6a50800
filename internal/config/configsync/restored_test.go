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

// serviceCount returns how many services a node has in force.
func (n *testNode) serviceCount() int { return len(n.catalog.View().Services) }

// listed returns how often the whole state was read.
func (p *memoryPlatform) listed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lists
}

// cut makes the platform unreachable for some nodes.
func (p *memoryPlatform) cut(isCut func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, machine := range p.machines {
		p.cutOff[machine.ID] = isCut(machine.ID)
	}
}

// A restore of the store brings every node of the fleet to the new epoch, also those that don't watch the store,
// and changes accepted after it are in force within four seconds; what the store lost stays in force.
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

// A zone that was cut off during the restore, and whose count of changes is higher, follows once it is connected
// again, and takes no other node back.
func TestZoneThatWasCutOffDuringARestore(t *testing.T) {
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

// A store that goes back without announcing a new epoch is not read without a pause, and doesn't confirm what is
// in force as the newest.
func TestStoreThatGoesBackUntoldIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 3)
		defer f.stopAll()
		for range 5 {
			f.platform.write(t, "a", 1)
		}
		time.Sleep(20 * time.Second)
		before := f.platform.listed()
		f.platform.isMute = true
		f.platform.restore(2)
		time.Sleep(time.Minute)
		reads := f.platform.listed() - before
		is.True(reads > 0)
		is.True(reads <= 3*60) // one a second and watcher
		for _, node := range f.nodes {
			is.Equal(node.catalog.Revision(), int64(5))
			is.True(node.catalog.Age() > 50*time.Second)
		}
	})
}

// A node that starts after the restore and reads the store has what the others retain within a few seconds.
func TestFreshNodeHasWhatOthersKeep(t *testing.T) {
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
		f.start("z0-new", "z0", "z0-new") // its own seed: it reads the store
		time.Sleep(5 * time.Second)
		is.Equal(f.nodes["z0-new"].serviceCount(), 3)
	})
}

// Nothing passes between a legacy node, which counts no epochs, and a node at a later epoch, since their
// revisions can't be compared. If the legacy node seems to be ahead, the other one reads the store.
func TestNodeThatCountsNoEpochs(t *testing.T) {
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
		is.True(!answer.State.Initialised)
		answer = handler.HandleCall(t.Context(), peer.Message{From: "old", Digest: legacy, Pull: &peer.Pull{After: 0}})
		is.Equal(len(answer.State.Changes)+len(answer.State.Snapshot), 0)
		is.Equal(node.serviceCount(), 1)

		// Not every digest makes it read the store: reads that advance nothing are 0.2 to 2 s apart.
		before := f.platform.listed()
		for range 1000 {
			node.syncer.Receive("old", legacy, nil)
			time.Sleep(10 * time.Millisecond)
		}
		checks := f.platform.listed() - before
		is.True(checks >= 4)
		is.True(checks <= 10)
	})
}

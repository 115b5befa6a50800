package configsync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A node that starts while the store is down loads its state from peers.
func TestNodeStartsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 5)
		defer f.stopAll()
		revision := f.platform.write(t, "a", 1)
		time.Sleep(15 * time.Second)
		f.nodes["z0-n3"].stop()
		f.network.Remove("z0-n3")
		time.Sleep(time.Second)
		f.platform.mu.Lock()
		for id := range f.nodes {
			f.platform.cutOff[id] = true
		}
		f.platform.mu.Unlock()
		f.start("z0-n3", "z0", "z0-n0")
		time.Sleep(5 * time.Second)
		is.Equal(f.nodes["z0-n3"].catalog.Revision(), revision)
	})
}

// A node that starts alone reads the store without waiting until it has joined its zone.
func TestFirstReadDoesNotWaitForMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 0)
		defer f.stopAll()
		revision := f.platform.write(t, "a", 1)
		f.cfg.FirstReadDelay = 10 * time.Millisecond
		f.start("z0-n0", "z0")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.nodes["z0-n0"].catalog.Revision(), revision)
	})
}

// A starting node reads a stale state and the changes since. If the store no longer keeps those changes, the node reads
// the newest state.
func TestFirstReadIsStaleThenCaughtUp(t *testing.T) {
	for name, test := range map[string]struct {
		compacted int64
		lists     int
	}{"kept": {0, 0}, "compacted": {2, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 1, 0)
				defer f.stopAll()
				f.platform.write(t, "a", 1)
				f.platform.write(t, "b", 1)
				revision := f.platform.write(t, "a", 2)
				f.platform.staleBy, f.platform.compacted = 2, test.compacted
				f.cfg.FirstReadDelay = 10 * time.Millisecond
				f.start("z0-n0", "z0")
				time.Sleep(100 * time.Millisecond)
				node := f.nodes["z0-n0"]
				is.Equal(node.catalog.Revision(), revision)
				is.Equal(node.catalog.View().Services["a"].Spec.GetConcurrencyLimit(), uint32(2))
				f.platform.mu.Lock()
				defer f.platform.mu.Unlock()
				is.Equal(f.platform.staleLists, 1)
				is.Equal(f.platform.lists, test.lists)
			})
		})
	}
}

// When a whole fleet starts, only the seeds read the store. The other nodes load their state from the seeds and from each
// other.
func TestOnlySeedsReadStoreWhenFleetStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 0)
		defer f.stopAll()
		f.platform.write(t, "a", 1)
		revision := f.platform.write(t, "b", 1)
		f.cfg.FirstReadDelay = 500 * time.Millisecond
		seeds := []string{"z0-n0", "z1-n0", "z2-n0"}
		for zone := range 6 {
			for number := range 40 {
				f.start(fmt.Sprintf("z%d-n%d", zone, number), fmt.Sprintf("z%d", zone), seeds...)
			}
		}
		time.Sleep(250 * time.Millisecond)
		is.Equal(len(f.lagging(revision)), 0)
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		is.Equal(f.platform.staleLists, len(seeds))
		is.Equal(f.platform.lists, 0)
	})
}

// A node whose seeds are unreachable or have no state reads the store after the delay.
func TestNodeWithUnreachableSeedsReadsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 0)
		defer f.stopAll()
		revision := f.platform.write(t, "a", 1)
		f.cfg.FirstReadDelay = 500 * time.Millisecond
		f.platform.cutOff["empty"] = true
		f.start("empty", "z9", "empty")
		f.start("z0-n0", "z0", "dead", "empty")
		time.Sleep(520 * time.Millisecond)
		is.Equal(f.nodes["z0-n0"].catalog.Revision(), revision)
	})
}

// A node that can't read the store loads its state from a seed that starts later.
func TestNodePullsFromSeedThatStartsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 0)
		defer f.stopAll()
		revision := f.platform.write(t, "a", 1)
		f.cfg.FirstReadDelay = 50 * time.Millisecond
		f.platform.cutOff["z0-n1"] = true
		f.start("z0-n1", "z0", "z0-n0")
		time.Sleep(300 * time.Millisecond)
		f.start("z0-n0", "z0", "z0-n0")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.nodes["z0-n1"].catalog.Revision(), revision)
	})
}

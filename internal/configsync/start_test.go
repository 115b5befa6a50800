package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A node that starts while the store is down takes its state from peers.
func TestNodeStartsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 5)
		defer f.stopAll()
		revision := f.platform.write(t, "a", 1)
		time.Sleep(15 * time.Second)
		f.nodes["z0-n3"].stop()
		f.network.Remove("z0-n3")
		time.Sleep(time.Second)
		f.platform.mutex.Lock()
		for id := range f.nodes {
			f.platform.cutOff[id] = true
		}
		f.platform.mutex.Unlock()
		f.start("z0-n3", "z0", "z0-n0")
		time.Sleep(5 * time.Second)
		is.Equal(f.nodes["z0-n3"].catalog.Revision(), revision)
	})
}

// A node that starts alone reads the store at once instead of waiting until it knows its zone.
func TestFirstReadDoesNotWaitForTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 0)
		defer f.stopAll()
		revision := f.platform.write(t, "a", 1)
		f.config.FirstReadDelay = 10 * time.Millisecond
		f.start("z0-n0", "z0")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.nodes["z0-n0"].catalog.Revision(), revision)
	})
}

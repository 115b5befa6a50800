package configsync

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A node that can't join its zone, because it reaches no other node, has each change in force within 3 s. Guards against
// a restarted node that served by its first state until it counted as joined, 5 to 7 s after its start.
func TestNodeThatReachesNoPeerFollowsStore(t *testing.T) {
	const bound = 3 * time.Second
	for late := time.Duration(0); late < 6*time.Second; late += 370 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 2)
			defer f.stopAll()
			f.platform.write(t, "a", 1)
			time.Sleep(15 * time.Second)
			f.crash("z0-n0")
			f.crash("z0-n1")
			f.cfg.FirstReadDelay = 60 * time.Millisecond
			f.start("z0-n1", "z0", "z0-n0", "dark-seed")
			time.Sleep(200*time.Millisecond + late)
			revision := f.platform.write(t, "a", 2)
			time.Sleep(bound)
			is.Equal(len(f.lagging(revision)), 0)
		})
	}
}

// Each change is in force within 3 s on the nodes of a zone that restarts one after the other. Guards against the same
// failure in nodes that do reach each other: nobody followed the store for the zone until its first watcher had joined,
// which takes longer while others still start.
func TestRestartingZoneFollowsStore(t *testing.T) {
	const (
		bound    = 3 * time.Second
		interval = 200 * time.Millisecond
		dueSteps = int(bound / interval)
		zoneSize = 24
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, zoneSize)
		defer f.stopAll()
		f.platform.write(t, "a", 1)
		time.Sleep(15 * time.Second)
		for number := range zoneSize {
			f.crash(fmt.Sprintf("z0-n%d", number))
		}
		f.cfg.FirstReadDelay = 60 * time.Millisecond
		var revisions []int64
		for step := range zoneSize + dueSteps {
			if step < zoneSize {
				f.start(fmt.Sprintf("z0-n%d", step), "z0", "dark-seed")
			}
			time.Sleep(interval)
			if step < zoneSize {
				revisions = append(revisions, f.platform.write(t, "a", uint32(step)))
			}
			if due := step - dueSteps; due >= 0 {
				is.Equal(len(f.startedLagging(revisions[due])), 0)
			}
		}
	})
}

// startedLagging returns the nodes that have a configuration, but not a revision.
func (f *fleet) startedLagging(wanted int64) []string {
	return slices.DeleteFunc(f.lagging(wanted), func(id string) bool { return f.nodes[id].catalog.Revision() == 0 })
}

// crash stops a node and detaches it from the network.
func (f *fleet) crash(id string) {
	f.nodes[id].stop()
	f.network.Remove(id)
	delete(f.nodes, id)
}

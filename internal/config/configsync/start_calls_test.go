package configsync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/fleet/machines"
)

// watchers is the number of watchers per zone.
const watchers = 3

// callsWhileStarting starts the nodes of a zone, with an interval between two of them, and returns how many calls of the
// store they make in the unstableTimeout after the last start. The seeds are in another zone.
func callsWhileStarting(t *testing.T, zoneSize int, interval time.Duration) int {
	t.Helper()
	const seeds = 3
	calls := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 0)
		defer f.stopAll()
		f.platform.write(t, "a", 1)
		f.cfg.WatchersPerZone = watchers
		f.cfg.FirstReadDelay = 60 * time.Millisecond
		for number := range seeds {
			f.start(fmt.Sprintf("seed-%d", number), "seeds")
		}
		time.Sleep(15 * time.Second)
		before := f.platform.calls()
		for number := range zoneSize {
			id := fmt.Sprintf("z0-n%d", number)
			f.platform.mu.Lock()
			f.platform.machines = append(f.platform.machines, machines.Machine{ID: id, Address: id, Zone: "z0", State: machines.Live, Role: machines.RoleNode})
			f.platform.mu.Unlock()
			f.start(id, "z0", "seed-0", "seed-1", "seed-2")
			time.Sleep(interval)
		}
		time.Sleep(unstableTimeout)
		calls = f.platform.calls() - before
	})
	return calls
}

// calls returns the number of calls of the store so far.
func (p *memoryPlatform) calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watches + p.lists + p.staleLists
}

// TestStartingZoneCallsStoreByItsWatchers guards against nodes that all check the store while they start: the calls are those
// of a zone's watchers, each of which checks the store at most once in CheckStoreAfter, whatever the size of the zone.
func TestStartingZoneCallsStoreByItsWatchers(t *testing.T) {
	for _, interval := range []time.Duration{0, 50 * time.Millisecond} {
		for _, zoneSize := range []int{24, 96} {
			t.Run(fmt.Sprint(zoneSize, " ", interval), func(t *testing.T) {
				is := is.New(t)
				calls := callsWhileStarting(t, zoneSize, interval)
				t.Log(calls, "calls")
				is.True(calls <= int(watchers*unstableTimeout/DefaultConfig().CheckStoreAfter))
			})
		}
	}
}

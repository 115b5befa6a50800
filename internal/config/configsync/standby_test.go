package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// firstWatcher returns the first watcher of a zone.
func (f *fleet) firstWatcher(zone string) string {
	for id, node := range f.nodes {
		if node.syncer.members.Self().Zone == zone && node.syncer.rank() == 0 {
			return id
		}
	}
	return ""
}

// eventsToStandbys counts the events that the store delivered to standbys.
func (f *fleet) eventsToStandbys() int {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	events := 0
	for id, node := range f.nodes {
		if node.syncer.rank() > 0 {
			events += f.platform.events[id]
		}
	}
	return events
}

// Standbys don't call the store while the first watcher of their zone is healthy, and still get every change.
func TestStandbysDoNotCallStoreWhileFirstWatcherWorks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 12)
		defer f.stopAll()
		time.Sleep(15 * time.Second)
		before := f.eventsToStandbys()
		for number := range 30 {
			revision := f.platform.write(t, "a", uint32(number))
			time.Sleep(time.Second)
			is.Equal(len(f.lagging(revision)), 0)
		}
		is.Equal(f.eventsToStandbys(), before)
	})
}

// While the first watcher can't reach the store, a standby checks the store about every 2 s. It stops once the first
// watcher recovers.
func TestStandbyChecksStoreWhileFirstWatcherCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 12)
		defer f.stopAll()
		time.Sleep(15 * time.Second)
		first := f.firstWatcher("z0")
		before := f.eventsToStandbys()
		f.platform.setCutOff(first, true)
		time.Sleep(20 * time.Second)
		checks := f.eventsToStandbys() - before
		is.True(checks >= 8 && checks <= 12)
		f.platform.setCutOff(first, false)
		time.Sleep(5 * time.Second)
		after := f.eventsToStandbys()
		time.Sleep(20 * time.Second)
		is.Equal(f.eventsToStandbys(), after)
	})
}

func (p *memoryPlatform) setCutOff(id string, cutOff bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff[id] = cutOff
}

// firstWatcherFailures are failures that keep the first watcher of a zone from pushing changes.
var firstWatcherFailures = map[string]func(f *fleet, id string){
	"crashes":               func(f *fleet, id string) { f.crash(id) },
	"can't reach the store": func(f *fleet, id string) { f.platform.setCutOff(id, true) },
	"has a silent watch": func(f *fleet, id string) {
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		f.platform.silent[id] = true
	},
	"is frozen and can't reach the store": func(f *fleet, id string) {
		f.network.Freeze(id, true)
		f.platform.setCutOff(id, true)
		delete(f.nodes, id) // a frozen node can't get the change
	},
}

// A change is in force in the whole zone within 3 s, even if the first watcher failed just before.
func TestChangeIsInForceInTimeAfterFirstWatcherFails(t *testing.T) {
	const bound = 3 * time.Second
	for name, end := range firstWatcherFailures {
		t.Run(name, func(t *testing.T) {
			for late := time.Duration(0); late < 2*time.Second; late += 230 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 1, 24)
					defer f.stopAll()
					f.platform.write(t, "a", 1)
					time.Sleep(15*time.Second + late)
					first := f.firstWatcher("z0")
					stop := f.nodes[first].stop
					defer stop()
					end(f, first)
					revision := f.platform.write(t, "a", 2)
					time.Sleep(bound)
					is.Equal(len(f.lagging(revision)), 0)
				})
			}
		})
	}
}

// A change is in force in the whole zone within 4 s, even if all of its watchers failed just before. Guards against a zone
// that had nobody who followed the store until the membership declared its watchers dead, 10 s later and more.
func TestChangeIsInForceInTimeAfterAllWatchersFail(t *testing.T) {
	const bound = 4 * time.Second
	for late := time.Duration(0); late < 2*time.Second; late += 230 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 24)
			defer f.stopAll()
			f.platform.write(t, "a", 1)
			time.Sleep(20*time.Second + late)
			for _, watcher := range f.nodes[f.firstWatcher("z0")].syncer.watchers() {
				f.crash(watcher.ID)
			}
			revision := f.platform.write(t, "a", 2)
			time.Sleep(bound)
			is.Equal(len(f.lagging(revision)), 0)
		})
	}
}

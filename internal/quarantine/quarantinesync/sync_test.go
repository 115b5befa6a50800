package quarantinesync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/quarantine"
)

// The node that puts a request under quarantine sends the record to all others at once, and stores it for nodes that
// start later.
func TestQuarantineReachesAllNodesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c", "d", "e")
		f.node("a").crashLeafs()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		is.True(f.allInState(quarantine.Quarantined))
		is.Equal(f.writes, 1)
		time.Sleep(convergenceTime)
		is.Equal(f.writes, 1)
		late := f.start("late")
		is.Equal(late.register.State(subject.Fingerprint), quarantine.Quarantined)
	})
}

// A node that missed the broadcast while partitioned gets the record from the store.
func TestPartitionedNodeGetsRecordFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c")
		f.withLock(func() { f.node("b").isPartitioned = true })
		f.node("a").crashLeafs()
		time.Sleep(time.Second)
		is.Equal(f.node("b").register.State(subject.Fingerprint), quarantine.Clear)
		f.withLock(func() { f.node("b").isPartitioned = false })
		f.node("b").refresh()
		is.Equal(f.node("b").register.State(subject.Fingerprint), quarantine.Quarantined)
	})
}

// While the store is down the broadcast is repeated. The record is stored soon after the store is up again, even if the
// node that found it is partitioned.
func TestRecordIsStoredAfterStoreOutage(t *testing.T) {
	for name, isFinderPartitioned := range map[string]bool{"finder is connected": false, "finder is partitioned": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, "a", "b", "c", "d", "e")
				f.withLock(func() { f.isDown, f.node("c").isPartitioned = true, true })
				f.node("a").crashLeafs()
				time.Sleep(2 * time.Second)
				is.Equal(f.node("c").register.State(subject.Fingerprint), quarantine.Clear)
				f.withLock(func() { f.node("c").isPartitioned = false })
				time.Sleep(2 * time.Second)
				is.True(f.allInState(quarantine.Quarantined)) // the broadcast was repeated
				if isFinderPartitioned {
					f.withLock(func() { f.node("a").isPartitioned = true })
				}
				f.withLock(func() { f.isDown = false })
				time.Sleep(convergenceTime)
				f.mu.Lock()
				_, isStored := f.entries[catalog.QuarantineKey(subject.Fingerprint.String())]
				f.mu.Unlock()
				is.True(isStored)
			})
		})
	}
}

// Repeated broadcasts in a large fleet stay within rebroadcastBytesPerSecond while the store is down.
func TestRebroadcastRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c")
		for number := range 297 {
			id := fmt.Sprint("other-", number)
			f.putRecord(catalog.NodeRecord{ID: id, Address: id})
		}
		f.withLock(func() { f.isDown = true })
		f.node("a").crashLeafs()
		time.Sleep(time.Second)
		const span = 20
		before := f.node("a").countSent()
		time.Sleep(span * time.Second)
		sent := (f.node("a").countSent() - before) * peer.MaxDatagram
		is.True(sent > 0)
		is.True(sent <= span*rebroadcastBytesPerSecond*5/4)
	})
}

func TestWriteWithLostAnswerTakesEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c")
		f.withLock(func() { f.losesAnswers = true })
		f.node("a").crashLeafs()
		time.Sleep(convergenceTime)
		is.True(f.allInState(quarantine.Quarantined))
		is.True(f.writes <= 2)
		unsaved := f.node("a").register.Unsaved()
		is.Equal(len(unsaved), 0)
	})
}

// Three nodes detect one crash each, which is insufficient for each of them; the aggregators put the request under
// quarantine.
func TestAggregatorsSumEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c", "d", "e", "f")
		for index, id := range []string{"a", "b", "c"} {
			execution := f.node(id).register.Begin(subject, func() {})
			execution.LeafCrashed("leaf-"+id, 0)
			execution.End()
			time.Sleep(100 * time.Millisecond)
			is.Equal(f.allInState(quarantine.Quarantined), index == 2)
		}
	})
}

// An answer drops the evidence at the nodes that it was reported to, and prevents a report that is pending.
func TestAnswerDropsReportedEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c", "d")
		execution := f.node("a").register.Begin(subject, func() {})
		execution.LeafCrashed("leaf-1", 0)
		time.Sleep(100 * time.Millisecond)
		is.True(!f.allInState(quarantine.Clear))
		execution.Answered()
		time.Sleep(100 * time.Millisecond)
		is.True(f.allInState(quarantine.Clear))
		sent := f.node("a").countSent()
		execution = f.node("a").register.Begin(subject, func() {})
		execution.LeafCrashed("leaf-2", 0)
		time.Sleep(time.Millisecond)
		f.node("a").register.Begin(subject, func() {}).Answered()
		time.Sleep(time.Second)
		is.Equal(f.node("a").countSent(), sent) // the evidence was dropped before it was reported
	})
}

// Of all nodes that a request arrives at after RetestAfter, one runs the retest. After a crash the next retest runs
// after a longer delay; after an answer all nodes serve the request.
func TestOneNodeRunsRetest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c")
		f.node("a").crashLeafs()
		time.Sleep(time.Second)
		retests := func() []*quarantine.Execution {
			var permitted []*quarantine.Execution
			for _, n := range f.nodes {
				if execution := n.register.Begin(subject, func() {}); execution.State() == quarantine.Suspect {
					permitted = append(permitted, execution)
				}
			}
			time.Sleep(100 * time.Millisecond)
			return permitted
		}
		is.Equal(len(retests()), 0)
		time.Sleep(quarantine.DefaultConfig().RetestAfter)
		is.Equal(len(retests()), 0) // the retest is requested, but not permitted yet
		first := retests()
		is.Equal(len(first), 1)
		first[0].LeafCrashed("leaf-4", 1)
		is.Equal(len(retests())+len(retests()), 0)
		time.Sleep(quarantine.DefaultConfig().RetestAfter * time.Duration(quarantine.DefaultConfig().RetestBackoffFactor))
		is.Equal(len(retests()), 0)
		second := retests()
		is.Equal(len(second), 1)
		second[0].Answered()
		time.Sleep(100 * time.Millisecond)
		is.True(f.allInState(quarantine.Clear))
	})
}

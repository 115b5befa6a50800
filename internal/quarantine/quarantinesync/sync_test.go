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

// The node that puts a request under quarantine announces it to all others at once, and the store keeps it for nodes
// that start later.
func TestAllNodesRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c", "d", "e")
		f.node("a").crashLeafs()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		is.True(f.allInState(quarantine.Quarantined))
		is.Equal(f.writes, 1)
		time.Sleep(contact)
		is.Equal(f.writes, 1)
		late := f.start("late")
		is.Equal(late.register.State(subject.Content), quarantine.Quarantined)
	})
}

// A node that was cut off gets the record from the store when it is back.
func TestANodeThatWasCutOffLearns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c")
		f.set(func() { f.node("b").isCut = true })
		f.node("a").crashLeafs()
		time.Sleep(time.Second)
		is.Equal(f.node("b").register.State(subject.Content), quarantine.Clear)
		f.set(func() { f.node("b").isCut = false })
		f.node("b").follow()
		is.Equal(f.node("b").register.State(subject.Content), quarantine.Quarantined)
	})
}

// While the store is down nodes repeat the announcement, and the store has the record soon after its return, even if
// the node that found it is gone.
func TestStoreThatIsDown(t *testing.T) {
	for name, finderGoes := range map[string]bool{"finder stays": false, "finder goes": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, "a", "b", "c", "d", "e")
				f.set(func() { f.isDown, f.node("c").isCut = true, true })
				f.node("a").crashLeafs()
				time.Sleep(2 * time.Second)
				is.Equal(f.node("c").register.State(subject.Content), quarantine.Clear)
				f.set(func() { f.node("c").isCut = false })
				time.Sleep(2 * time.Second)
				is.True(f.allInState(quarantine.Quarantined)) // announced again
				if finderGoes {
					f.set(func() { f.node("a").isCut = true })
				}
				f.set(func() { f.isDown = false })
				time.Sleep(contact)
				f.mu.Lock()
				_, isKept := f.entries[catalog.QuarantineKey(subject.Content.String())]
				f.mu.Unlock()
				is.True(isKept)
			})
		})
	}
}

// Repeated announcements in a large fleet stay within their bound while the store is down.
func TestTellingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c")
		for number := range 297 {
			id := fmt.Sprint("other-", number)
			f.putRecord(catalog.NodeRecord{ID: id, Address: id})
		}
		f.set(func() { f.isDown = true })
		f.node("a").crashLeafs()
		time.Sleep(time.Second)
		const span = 20
		before := f.node("a").countSent()
		time.Sleep(span * time.Second)
		sent := (f.node("a").countSent() - before) * peer.MaximumDatagram
		is.True(sent > 0)
		is.True(sent <= span*rebroadcastBytesPerSecond*5/4)
	})
}

// A write whose answer is lost takes effect once.
func TestLostAnswerOfAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c")
		f.set(func() { f.loses = true })
		f.node("a").crashLeafs()
		time.Sleep(contact)
		is.True(f.allInState(quarantine.Quarantined))
		is.True(f.writes <= 2)
		unsaved := f.node("a").register.Unsaved()
		is.Equal(len(unsaved), 0)
	})
}

// Three nodes see one crash each, too few for any of them; the nodes that add them up put the request under
// quarantine.
func TestEvidenceIsAddedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c", "d", "e", "f")
		for index, id := range []string{"a", "b", "c"} {
			try := f.node(id).register.Begin(subject, func() {})
			try.LeafCrashed("leaf-"+id, 0)
			try.End()
			time.Sleep(100 * time.Millisecond)
			is.Equal(f.allInState(quarantine.Quarantined), index == 2)
		}
	})
}

// An answer withdraws the evidence wherever it was reported, before and after.
func TestAnswerTakesEvidenceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c", "d")
		try := f.node("a").register.Begin(subject, func() {})
		try.LeafCrashed("leaf-1", 0)
		time.Sleep(100 * time.Millisecond)
		is.True(!f.allInState(quarantine.Clear))
		try.Answered()
		time.Sleep(100 * time.Millisecond)
		is.True(f.allInState(quarantine.Clear))
		sent := f.node("a").countSent()
		try = f.node("a").register.Begin(subject, func() {})
		try.LeafCrashed("leaf-2", 0)
		time.Sleep(time.Millisecond)
		f.node("a").register.Begin(subject, func() {}).Answered()
		time.Sleep(time.Second)
		is.Equal(f.node("a").countSent(), sent) // nothing was reported yet
	})
}

// Of all nodes that a request arrives at after RetestAfter, one tries it, and again only after a longer delay; if it is
// answered, all nodes serve it.
func TestOneNodeTriesItAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a", "b", "c")
		f.node("a").crashLeafs()
		time.Sleep(time.Second)
		retests := func() []*quarantine.Execution {
			var permitted []*quarantine.Execution
			for _, n := range f.nodes {
				if try := n.register.Begin(subject, func() {}); try.State() == quarantine.Suspect {
					permitted = append(permitted, try)
				}
			}
			time.Sleep(100 * time.Millisecond)
			return permitted
		}
		is.Equal(len(retests()), 0)
		time.Sleep(quarantine.DefaultConfig().RetestAfter)
		is.Equal(len(retests()), 0) // asked for
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

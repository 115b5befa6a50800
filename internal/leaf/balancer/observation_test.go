package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const typicalWork = 10 * time.Millisecond

// seesSlow lets a balancer see one attempt at a leaf that takes eight times the usual.
func seesSlow(b *Balancer, id string) {
	leaf := b.leaf(id, "z", time.Now())
	b.Start(leaf)
	b.Finish(leaf, Succeeded, 8*typicalWork, typicalWork)
}

// knows lets a balancer see some attempts at all leafs that take the usual time.
func knows(b *Balancer) {
	for _, candidate := range three() {
		leaf := b.leaf(candidate.LeafID, candidate.Zone, time.Now())
		for range slownessSamples {
			b.Start(leaf)
			b.Finish(leaf, Succeeded, typicalWork, typicalWork)
		}
	}
}

// shares counts the choices of each leaf.
func shares(b *Balancer) map[string]int {
	counts := map[string]int{}
	for range 300 {
		counts[b.Choose(three(), nil).Leaf.ID]++
	}
	return counts
}

// A node that never asked a slow leaf passes it over when several others saw it slow, and asks it
// again when one saw it well.
func TestSlownessSeenByOthersCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		here := New(DefaultConfig(), "z")
		var believed []Condition
		here.OnAssessment(func(changed Assessment) {
			is.True(changed.FromPeer)
			is.Equal(changed.LeafID, "b")
			believed = append(believed, changed.Condition)
		})
		knows(here)
		time.Sleep(recentSpan + time.Second)
		for range leastRecent {
			there := New(DefaultConfig(), "z")
			there.OnObserved(here.HandleObservation)
			seesSlow(there, "b")
			time.Sleep(toldSpacing)
		}
		is.Equal(shares(here)["b"], 0)
		is.Equal(believed, []Condition{Slow})
		time.Sleep(recentSpan + time.Second)
		there := New(DefaultConfig(), "z")
		there.OnObserved(here.HandleObservation)
		for range leastRecent {
			seesSlow(there, "b") // and is itself told of
			time.Sleep(toldSpacing)
		}
		is.Equal(shares(here)["b"], 0)
		leaf := there.leaf("b", "z", time.Now())
		time.Sleep(recentSpan + time.Second)
		for range slownessSamples {
			there.Start(leaf)
			there.Finish(leaf, Succeeded, typicalWork, typicalWork)
		}
		time.Sleep(4 * slownessHalfLife)
		is.True(shares(here)["b"] > 0)
	})
}

// A leaf that another node waits for in vain is passed over for a while, unless it answered here.
func TestSilenceSeenByOthersCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		here, there := New(DefaultConfig(), "z"), New(DefaultConfig(), "z")
		there.OnObserved(here.HandleObservation)
		knows(here)
		time.Sleep(time.Second)
		silent := there.leaf("b", "z", time.Now())
		there.Start(silent)
		there.AttemptLate("b")
		is.True(shares(here)["b"] > 0) // not late for long enough
		time.Sleep(unknownStall + time.Millisecond)
		there.AttemptLate("b")
		is.Equal(shares(here)["b"], 0)
		time.Sleep(maximumStallPause)
		is.True(shares(here)["b"] > 0) // somebody has to look
		there.AttemptLate("b")
		is.Equal(shares(here)["b"], 0)
		there.Finish(silent, Succeeded, time.Second, 0) // it answered there
		is.True(shares(here)["b"] > 0)
		time.Sleep(time.Second)
		knows(here)
		there.Start(silent)
		time.Sleep(unknownStall + time.Millisecond)
		own := here.leaf("b", "z", time.Now())
		here.Start(own)
		here.Finish(own, Succeeded, typicalWork, typicalWork)
		there.AttemptLate("b")
		is.True(shares(here)["b"] > 0) // it answered here a moment ago
	})
}

// Usual answers are nobody's news.
func TestUsualAnswersAreNotTold(t *testing.T) {
	is := is.New(t)
	b := New(DefaultConfig(), "z")
	b.OnObserved(func(Observation) { t.Error("told of a usual answer") })
	knows(b)
	b.HandleObservation(Observation{Leaf: KeyOf("unknown"), Slowness: 9}) // of a leaf that there isn't
	is.Equal(len(b.leafs), 3)
}

// What many nodes see in one pause of a leaf makes it no slow one.
func TestOnePauseSeenByManyIsNoSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		here := New(DefaultConfig(), "z")
		here.OnAssessment(func(changed Assessment) { t.Errorf("believes %v", changed) })
		knows(here)
		time.Sleep(recentSpan + time.Second)
		for range 8 {
			there := New(DefaultConfig(), "z")
			there.OnObserved(here.HandleObservation)
			seesSlow(there, "b")
			time.Sleep(toldSpacing / 10)
		}
		is.True(shares(here)["b"] > 0)
	})
}

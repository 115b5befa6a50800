package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const typicalWork = 10 * time.Millisecond

// seesSlow makes a balancer observe one attempt at a leaf that takes eight times the typical latency.
func seesSlow(b *Balancer, id string) {
	leaf := b.leaf(id, "z", time.Now())
	b.Start(leaf)
	b.Finish(leaf, Succeeded, 8*typicalWork, typicalWork)
}

// knows makes a balancer observe attempts of typical latency at all leafs.
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

// A node that never asked a slow leaf passes it over once several others observed that it is slow, and asks it
// again once one observed that it is healthy.
func TestSlownessSeenByOthersCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		here := New(DefaultConfig(), "z")
		var conditions []Condition
		here.OnAssessment(func(changed Assessment) {
			is.True(changed.FromPeer)
			is.Equal(changed.LeafID, "b")
			conditions = append(conditions, changed.Condition)
		})
		knows(here)
		time.Sleep(recentSpan + time.Second)
		for range minimumRecent {
			there := New(DefaultConfig(), "z")
			there.OnObserved(here.HandleObservation)
			seesSlow(there, "b")
			time.Sleep(peerSampleInterval)
		}
		is.Equal(shares(here)["b"], 0)
		is.Equal(conditions, []Condition{Slow})
		time.Sleep(recentSpan + time.Second)
		there := New(DefaultConfig(), "z")
		there.OnObserved(here.HandleObservation)
		for range minimumRecent {
			seesSlow(there, "b") // and announces it
			time.Sleep(peerSampleInterval)
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

// A leaf that owes another node an answer is passed over for a while, unless it answered here.
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
		is.True(shares(here)["b"] > 0) // not silent for long enough
		time.Sleep(unknownStall + time.Millisecond)
		there.AttemptLate("b")
		is.Equal(shares(here)["b"], 0)
		time.Sleep(maximumStallPause)
		is.True(shares(here)["b"] > 0) // the pause is over: it is tried again
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

// Answers of typical latency are not announced.
func TestUsualAnswersAreNotTold(t *testing.T) {
	is := is.New(t)
	b := New(DefaultConfig(), "z")
	b.OnObserved(func(Observation) { t.Error("announced an answer of typical latency") })
	knows(b)
	b.HandleObservation(Observation{Leaf: KeyOf("unknown"), Slowness: 9})
	is.Equal(len(b.leafs), 3)
}

// A leaf is not slow because many nodes observed the same pause.
func TestOnePauseSeenByManyIsNoSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		here := New(DefaultConfig(), "z")
		here.OnAssessment(func(changed Assessment) { t.Errorf("assessment changed to %v", changed) })
		knows(here)
		time.Sleep(recentSpan + time.Second)
		for range 8 {
			there := New(DefaultConfig(), "z")
			there.OnObserved(here.HandleObservation)
			seesSlow(there, "b")
			time.Sleep(peerSampleInterval / 10)
		}
		is.True(shares(here)["b"] > 0)
	})
}

package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func threeReplicas() []Candidate {
	return []Candidate{{LeafID: "a", Zone: "z"}, {LeafID: "b", Zone: "z"}, {LeafID: "c", Zone: "z"}}
}

// runAttempt chooses a replica and runs an attempt at it in virtual time. It returns the leaf's ID, or the reason why
// no replica was chosen.
func runAttempt(b *Balancer, candidates []Candidate, outcome Outcome, took func(id string) time.Duration) string {
	choice := b.Choose(candidates, nil)
	if choice.Leaf == nil {
		return string(choice.Reason)
	}
	b.Start(choice.Leaf)
	wait := took(choice.Leaf.ID)
	time.Sleep(wait)
	b.Finish(choice.Leaf, outcome, wait, 0)
	return choice.Leaf.ID
}

func millis(count int) func(string) time.Duration {
	return func(string) time.Duration { return time.Duration(count) * time.Millisecond }
}

func TestSlowReplicaReportingNoLoadIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		counts := map[string]int{}
		for range 2000 {
			id := runAttempt(b, threeReplicas(), Succeeded, func(id string) time.Duration {
				if id == "b" {
					return 20 * time.Millisecond
				}
				return 2 * time.Millisecond
			})
			b.ReportLoad(b.leaf(id, "z", time.Now()), Load{Slots: 10})
			counts[id]++
		}
		is.True(counts["b"] < 60)
		is.True(counts["b"] > 0) // its recovery will be noticed
	})
}

func TestFailingReplicaIsEjectedAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		bad := b.leaf("a", "z", time.Now())
		for range DefaultConfig().EjectAfter {
			b.Start(bad)
			b.Finish(bad, Failed, time.Millisecond, 0)
		}
		for range 200 {
			is.True(b.Choose(threeReplicas(), nil).Leaf.ID != "a")
		}
		is.Equal(b.Choose(threeReplicas()[:1], nil).Leaf.ID, "a") // the only replica is used although it is ejected
		time.Sleep(DefaultConfig().EjectFor + time.Millisecond)
		b.Start(bad) // this attempt is the probe
		for range 200 {
			is.True(b.Choose(threeReplicas(), nil).Leaf.ID != "a") // one probe at a time
		}
		b.Finish(bad, Succeeded, time.Millisecond, 0)
		seen := false
		for range 500 {
			seen = seen || b.Choose(threeReplicas(), nil).Leaf.ID == "a"
		}
		is.True(seen)
	})
}

func TestLeavingReplicasGetNoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		b.SetLeaving("a", time.Now().Add(time.Second))
		notified := ""
		b.OnDraining(func(id string) { notified = id })
		draining := b.leaf("b", "z", time.Now())
		b.Start(draining)
		b.Finish(draining, Drained, time.Millisecond, 0)
		is.Equal(notified, "b")
		candidates := threeReplicas()
		candidates[2].Leaving = true
		is.Equal(b.Choose(candidates, nil).Reason, NoReplica)
		time.Sleep(2 * time.Second)
		is.Equal(b.Choose(candidates, nil).Leaf.ID, "a") // the period set by SetLeaving has ended
	})
}

// Guards against choosing a leaving leaf too early when an older notice arrives after its renewal.
func TestOlderLeavingNoticeDoesNotShortenPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		b.SetLeaving("a", time.Now().Add(10*time.Second))
		b.SetLeaving("a", time.Now().Add(time.Second))
		time.Sleep(2 * time.Second)
		is.True(b.Choose(threeReplicas()[:1], nil).Leaf == nil)
		time.Sleep(9 * time.Second)
		is.Equal(b.Choose(threeReplicas()[:1], nil).Leaf.ID, "a")
	})
}

func TestShedLowersInFlightLimit(t *testing.T) {
	is := is.New(t)
	b := New(DefaultConfig(), "z")
	shedding := b.leaf("a", "z", time.Now())
	for range 30 {
		b.Start(shedding)
		b.Finish(shedding, Shed, time.Millisecond, 0)
	}
	b.Start(shedding)
	is.Equal(b.Choose(threeReplicas()[:1], nil).Reason, ReplicasFull)
	b.Finish(shedding, Succeeded, time.Millisecond, 0)
	is.Equal(b.Choose(threeReplicas()[:1], nil).Leaf.ID, "a")
}

func TestOwnZoneIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		candidates := []Candidate{{LeafID: "near", Zone: "z"}, {LeafID: "far", Zone: "y"}}
		counts := map[string]int{}
		for range 500 {
			counts[runAttempt(b, candidates, Succeeded, millis(2))]++
		}
		is.True(counts["near"] > 450)
	})
}

func TestForgetDropsUnknownLeafs(t *testing.T) {
	is := is.New(t)
	b := New(DefaultConfig(), "z")
	for _, candidate := range threeReplicas() {
		b.leaf(candidate.LeafID, candidate.Zone, time.Now())
	}
	b.Forget(map[string]bool{"b": true})
	is.Equal(len(b.leafs), 1)
}

// A leaf whose answer is overdue gets no attempts while another replica is usable, and is tried again after a pause, by
// one attempt at a time.
func TestStalledLeafIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		stalled := b.leaf("a", "z", time.Now())
		b.Start(stalled)
		b.Finish(stalled, Succeeded, 10*time.Millisecond, 0)
		b.Start(stalled)
		time.Sleep(29 * time.Millisecond)
		is.True(!b.Choose(threeReplicas()[:1], nil).Unhealthy)
		time.Sleep(31 * time.Millisecond)
		for range 100 {
			is.True(b.Choose(threeReplicas(), nil).Leaf.ID != "a")
		}
		is.True(b.Choose(threeReplicas()[:1], nil).Unhealthy) // it is the only replica
		b.Finish(stalled, Cancelled, 60*time.Millisecond, 0)
		is.True(b.Choose(threeReplicas()[:1], nil).Unhealthy) // a cancelled attempt does not end the silence
		time.Sleep(2 * minimumStallPause)
		is.True(!b.Choose(threeReplicas()[:1], nil).Unhealthy) // the pause is over
		b.Start(stalled)
		is.True(b.Choose(threeReplicas()[:1], nil).Unhealthy) // one attempt is already in flight
		b.Finish(stalled, Succeeded, time.Millisecond, 0)
		is.True(!b.Choose(threeReplicas()[:1], nil).Unhealthy)
	})
}

// The leaf with the lowest expected delay is chosen: a slow one only if the queues of the others are longer.
func TestLeastExpectedDelayIsChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		pair := threeReplicas()[:2]
		const typical = 10 * time.Millisecond
		for id, took := range map[string]time.Duration{"a": typical, "b": 5 * typical} {
			leaf := b.leaf(id, "z", time.Now())
			b.ReportLoad(leaf, Load{Slots: 2})
			for range slownessSamples {
				b.Start(leaf)
				b.Finish(leaf, Succeeded, took, typical)
			}
		}
		choice := b.Choose(pair, nil)
		is.Equal(choice.Leaf.ID, "a")
		is.Equal(choice.ExpectedSlowdown, 1.0)
		b.ReportLoad(b.leaf("a", "z", time.Now()), Load{InFlight: 14, Slots: 2})
		choice = b.Choose(pair, nil)
		is.Equal(choice.Leaf.ID, "b")
		is.Equal(choice.ExpectedSlowdown, 5.0)
		time.Sleep(9 * slownessHalfLife) // the slowness of b decays, so that it is tried again
		seen := false
		for range 100 {
			seen = seen || b.Choose(pair, nil).Leaf.ID == "b"
		}
		is.True(seen)
	})
}

// One slow sample among typical ones does not change the median.
func TestSinglePauseDoesNotMakeALeafSlow(t *testing.T) {
	is := is.New(t)
	var known slowness
	now := time.Now()
	for _, sample := range []float64{1, 1, 25, 1, 1} {
		known.add(sample, now)
	}
	current, slownessKnown := known.now(now)
	is.True(slownessKnown)
	is.Equal(current, 1.0)
}

// A last-resort replica is chosen only if no other is usable.
func TestLastResortReplicaIsChosenLast(t *testing.T) {
	is := is.New(t)
	b := New(DefaultConfig(), "z")
	candidates := threeReplicas()
	candidates[0].LastResort, candidates[1].LastResort = true, true
	for range 100 {
		is.Equal(b.Choose(candidates, nil).Leaf.ID, "c")
	}
	choice := b.Choose(candidates, []string{"c"})
	is.True(choice.Leaf != nil)
	is.True(choice.Unhealthy)
}

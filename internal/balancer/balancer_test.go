package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func three() []Candidate {
	return []Candidate{{LeafID: "a", Zone: "z"}, {LeafID: "b", Zone: "z"}, {LeafID: "c", Zone: "z"}}
}

// ask chooses a replica and ends the attempt after a time in virtual time.
func ask(b *Balancer, candidates []Candidate, outcome Outcome, took func(id string) time.Duration) string {
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

func TestSlowReplicaThatClaimsToBeIdleIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		counts := map[string]int{}
		for range 2000 {
			id := ask(b, three(), Succeeded, func(id string) time.Duration {
				if id == "b" {
					return 20 * time.Millisecond
				}
				return 2 * time.Millisecond
			})
			b.Report(b.leaf(id, "z", time.Now()), Load{Slots: 10})
			counts[id]++
		}
		is.True(counts["b"] < 60)
		is.True(counts["b"] > 0) // its recovery would be seen
	})
}

func TestFailingReplicaIsEjectedAndTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		bad := b.leaf("a", "z", time.Now())
		for range DefaultConfig().EjectAfter {
			b.Start(bad)
			b.Finish(bad, Failed, time.Millisecond, 0)
		}
		for range 200 {
			is.True(b.Choose(three(), nil).Leaf.ID != "a")
		}
		is.Equal(b.Choose(three()[:1], nil).Leaf.ID, "a") // never the last replica
		time.Sleep(DefaultConfig().EjectFor + time.Millisecond)
		b.Start(bad) // the trial
		for range 200 {
			is.True(b.Choose(three(), nil).Leaf.ID != "a") // one trial at a time
		}
		b.Finish(bad, Succeeded, time.Millisecond, 0)
		seen := false
		for range 500 {
			seen = seen || b.Choose(three(), nil).Leaf.ID == "a"
		}
		is.True(seen)
	})
}

func TestLeavingReplicasGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		b.SetLeaving("a", time.Now().Add(time.Second))
		told := ""
		b.OnDraining(func(id string) { told = id })
		draining := b.leaf("b", "z", time.Now())
		b.Start(draining)
		b.Finish(draining, Drained, time.Millisecond, 0)
		is.Equal(told, "b")
		candidates := three()
		candidates[2].Leaving = true
		is.Equal(b.Choose(candidates, nil).Reason, NoReplica)
		time.Sleep(2 * time.Second)
		is.Equal(b.Choose(candidates, nil).Leaf.ID, "a") // the word lapsed
	})
}

func TestSheddingLowersTheLimitOfALeaf(t *testing.T) {
	is := is.New(t)
	b := New(DefaultConfig(), "z")
	shedding := b.leaf("a", "z", time.Now())
	for range 30 {
		b.Start(shedding)
		b.Finish(shedding, Shed, time.Millisecond, 0)
	}
	b.Start(shedding)
	is.Equal(b.Choose(three()[:1], nil).Reason, ReplicasFull)
	b.Finish(shedding, Succeeded, time.Millisecond, 0)
	is.Equal(b.Choose(three()[:1], nil).Leaf.ID, "a")
}

func TestOwnZoneIsPreferredUntilItIsWorse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(DefaultConfig(), "z")
		candidates := []Candidate{{LeafID: "near", Zone: "z"}, {LeafID: "far", Zone: "y"}}
		counts := map[string]int{}
		for range 500 {
			counts[ask(b, candidates, Succeeded, millis(2))]++
		}
		is.True(counts["near"] > 450)
	})
}

func TestForgottenLeafsAreDropped(t *testing.T) {
	is := is.New(t)
	b := New(DefaultConfig(), "z")
	for _, candidate := range three() {
		b.leaf(candidate.LeafID, candidate.Zone, time.Now())
	}
	b.Forget(map[string]bool{"b": true})
	is.Equal(len(b.leafs), 1)
}

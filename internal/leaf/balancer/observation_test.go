package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const typicalLatency = 10 * time.Millisecond

// observeSlowAttempt records an attempt at a leaf that takes eight times the typical latency.
func observeSlowAttempt(b *Balancer, id string) {
	leaf := b.leaf(id, "z", time.Now())
	b.Start(leaf)
	b.Finish(leaf, Succeeded, 8*typicalLatency, typicalLatency)
}

// observeTypicalAttempts records attempts of typical latency at all leafs.
func observeTypicalAttempts(b *Balancer) {
	for _, candidate := range threeReplicas() {
		leaf := b.leaf(candidate.LeafID, candidate.Zone, time.Now())
		for range slownessSamples {
			b.Start(leaf)
			b.Finish(leaf, Succeeded, typicalLatency, typicalLatency)
		}
	}
}

// countChoices returns how often each leaf is chosen in 300 choices.
func countChoices(b *Balancer) map[string]int {
	counts := map[string]int{}
	for range 300 {
		counts[b.Choose(threeReplicas(), nil).Leaf.ID]++
	}
	return counts
}

// A node that sent no attempts to a slow leaf passes it over after several peers reported it as slow, and uses it again
// after a peer reported it as healthy.
func TestSlownessReportedByPeersAffectsChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local := New(DefaultConfig(), "z")
		var conditions []Condition
		local.OnAssessment(func(changed Assessment) {
			is.True(changed.FromPeer)
			is.Equal(changed.LeafID, "b")
			conditions = append(conditions, changed.Condition)
		})
		observeTypicalAttempts(local)
		time.Sleep(recentWindow + time.Second)
		for range minimumRecentSamples {
			remote := New(DefaultConfig(), "z")
			remote.OnObserved(local.HandleObservation)
			observeSlowAttempt(remote, "b")
			time.Sleep(peerSampleInterval)
		}
		is.Equal(countChoices(local)["b"], 0)
		is.Equal(conditions, []Condition{Slow})
		time.Sleep(recentWindow + time.Second)
		remote := New(DefaultConfig(), "z")
		remote.OnObserved(local.HandleObservation)
		for range minimumRecentSamples {
			observeSlowAttempt(remote, "b") // the other node reports it as slow
			time.Sleep(peerSampleInterval)
		}
		is.Equal(countChoices(local)["b"], 0)
		leaf := remote.leaf("b", "z", time.Now())
		time.Sleep(recentWindow + time.Second)
		for range slownessSamples {
			remote.Start(leaf)
			remote.Finish(leaf, Succeeded, typicalLatency, typicalLatency)
		}
		time.Sleep(4 * slownessHalfLife)
		is.True(countChoices(local)["b"] > 0)
	})
}

// A leaf that a peer reports as silent is passed over for a while, unless it recently answered this node.
func TestSilenceReportedByPeersAffectsChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local, remote := New(DefaultConfig(), "z"), New(DefaultConfig(), "z")
		remote.OnObserved(local.HandleObservation)
		observeTypicalAttempts(local)
		time.Sleep(time.Second)
		silent := remote.leaf("b", "z", time.Now())
		remote.Start(silent)
		remote.AttemptLate("b")
		is.True(countChoices(local)["b"] > 0) // the silence is shorter than the stall timeout
		time.Sleep(defaultStallTimeout + time.Millisecond)
		remote.AttemptLate("b")
		is.Equal(countChoices(local)["b"], 0)
		time.Sleep(maximumStallPause)
		is.True(countChoices(local)["b"] > 0) // the pause is over, so the leaf is tried again
		remote.AttemptLate("b")
		is.Equal(countChoices(local)["b"], 0)
		remote.Finish(silent, Succeeded, time.Second, 0) // the leaf answered the peer
		is.True(countChoices(local)["b"] > 0)
		time.Sleep(time.Second)
		observeTypicalAttempts(local)
		remote.Start(silent)
		time.Sleep(defaultStallTimeout + time.Millisecond)
		own := local.leaf("b", "z", time.Now())
		local.Start(own)
		local.Finish(own, Succeeded, typicalLatency, typicalLatency)
		remote.AttemptLate("b")
		is.True(countChoices(local)["b"] > 0) // the leaf answered this node during the silence
	})
}

// Answers of typical latency are not reported to other nodes.
func TestTypicalLatencyIsNotReported(t *testing.T) {
	is := is.New(t)
	b := New(DefaultConfig(), "z")
	b.OnObserved(func(Observation) { t.Error("reported an answer of typical latency") })
	observeTypicalAttempts(b)
	b.HandleObservation(Observation{Leaf: KeyOf("unknown"), Slowness: 9})
	is.Equal(len(b.leafs), 3)
}

// A pause that many peers report at the same time counts as one slow sample.
func TestPauseReportedByManyPeersDoesNotMakeALeafSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local := New(DefaultConfig(), "z")
		local.OnAssessment(func(changed Assessment) { t.Errorf("assessment changed to %v", changed) })
		observeTypicalAttempts(local)
		time.Sleep(recentWindow + time.Second)
		for range 8 {
			remote := New(DefaultConfig(), "z")
			remote.OnObserved(local.HandleObservation)
			observeSlowAttempt(remote, "b")
			time.Sleep(peerSampleInterval / 10)
		}
		is.True(countChoices(local)["b"] > 0)
	})
}

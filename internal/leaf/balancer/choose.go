package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
)

// zoneAdvantage multiplies the score of replicas in another zone, so that the same zone is
// preferred until its replicas are this many times worse.
const zoneAdvantage = 2

// crossZoneDelay multiplies the expected delay of replicas in another zone: their answers cross
// a slower and dearer link. An answer that comes early is worth no more, so that the own zone is
// left only for a leaf that is clearly slow, or by a hedge (docs/design/serving-tree.md, round 3).
const crossZoneDelay = 3

// spareDelay multiplies the expected delay of replicas that this node would have to open a
// connection to, which costs the leaf a moment of a slot.
const spareDelay = 3

// Candidate is one replica of a shard.
type Candidate struct {
	LeafID string
	Zone   string
	// Leaving is the operator's word that the leaf must receive no new work.
	Leaving bool
	// LastResort says that the leaf is for attempts that no other can take.
	LastResort bool
	// Unallotted says that this node has no part of the leaf's connections, and would have to open
	// one for the attempt.
	Unallotted bool
}

// Choice is the outcome of Choose.
type Choice struct {
	Leaf *Leaf
	// Reason says why there is no leaf to ask.
	Reason NoChoiceReason
	// Unhealthy says that the leaf is ejected or stalled, and was chosen for want of another.
	Unhealthy bool
	// ExpectedSlowdown is how many times the usual the attempt is expected to take; 0 when unknown.
	ExpectedSlowdown float64
}

// NoChoiceReason says why no replica can be asked.
type NoChoiceReason string

// The reasons for having no replica to ask.
const (
	// NoReplica means that every replica has been tried or is leaving.
	NoReplica NoChoiceReason = "NO_REPLICA"
	// ReplicasFull means that every usable replica is at its in-flight limit.
	ReplicasFull NoChoiceReason = "REPLICAS_FULL"
)

// usualReplicas is how many replicas of a shard are compared without allocating memory.
const usualReplicas = 4

// Choose gives a replica that was not tried yet. Leaving and draining ones are never given.
func (b *Balancer) Choose(candidates []Candidate, tried []string) Choice {
	now := b.now()
	var usableBuffer, ejectedBuffer [usualReplicas]scored
	usable, ejected := usableBuffer[:0], ejectedBuffer[:0]
	full := false
	for _, candidate := range candidates {
		if slices.Contains(tried, candidate.LeafID) || candidate.Leaving || b.isLeaving(candidate.LeafID, now) {
			continue
		}
		leaf := b.leaf(candidate.LeafID, candidate.Zone, now)
		state := leaf.standing(b.config, now)
		switch {
		case state.draining:
		case state.full:
			full = true
		case state.ejected, state.stalled, candidate.LastResort:
			ejected = append(ejected, scored{leaf, state, candidate.Unallotted})
		default:
			usable = append(usable, scored{leaf, state, candidate.Unallotted})
		}
	}
	troubled := len(usable) == 0
	if troubled {
		usable = ejected
	}
	if len(usable) == 0 {
		return Choice{Reason: noChoice(full)}
	}
	if b.config.Method == Random {
		return Choice{Leaf: usable[rand.IntN(len(usable))].leaf, Unhealthy: troubled}
	}
	usable = dropCold(usable)
	if isCompared(usable) {
		return b.leastDelay(usable, troubled)
	}
	fastest := fastestLatency(usable)
	usable = b.dropSlow(usable, fastest)
	return Choice{Leaf: b.betterOfTwo(usable, fastest), Unhealthy: troubled}
}

func noChoice(full bool) NoChoiceReason {
	if full {
		return ReplicasFull
	}
	return NoReplica
}

type scored struct {
	leaf  *Leaf
	state standing
	spare bool
}

// delay gives how many times the usual the attempt is expected to take there.
func (s scored) delay() float64 {
	expected := s.state.slowness * s.state.queueing
	if s.spare {
		return expected * spareDelay
	}
	return expected
}

// dropCold leaves a replica that is colder than its peers out of some choices, so that it
// warms up on a growing share of its part.
func dropCold(usable []scored) []scored {
	warmest := 0.0
	for _, candidate := range usable {
		warmest = max(warmest, candidate.state.warmth)
	}
	kept := usable[:0]
	for _, candidate := range usable {
		if candidate.state.warmth >= warmest || rand.Float64()*warmest < candidate.state.warmth {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// isCompared reports whether the slowness of some replica is known.
func isCompared(usable []scored) bool {
	for _, candidate := range usable {
		if candidate.state.compared {
			return true
		}
	}
	return false
}

// delayJitter spreads the choices of nodes that know the same, so that they don't all turn to
// the same replica at once.
const delayJitter = 0.1

// leastDelay gives the replica that is expected to answer first.
func (b *Balancer) leastDelay(usable []scored, troubled bool) Choice {
	var best Choice
	least := math.Inf(1)
	for _, candidate := range usable {
		expected := candidate.delay()
		score := expected * (1 + delayJitter*rand.Float64())
		if candidate.leaf.Zone != b.zone {
			score *= crossZoneDelay
		}
		if score < least {
			least = score
			best = Choice{Leaf: candidate.leaf, Unhealthy: troubled, ExpectedSlowdown: expected}
		}
	}
	return best
}

// exploreShare is the share of choices that may still go to a replica far slower than its
// peers, so that its recovery is seen.
const exploreShare = 0.01

// fastestLatency gives the lowest known latency in seconds; 0 when none is known.
func fastestLatency(usable []scored) float64 {
	fastest := 0.0
	for _, candidate := range usable {
		if latency := candidate.state.latency; latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	return fastest
}

// dropSlow leaves out replicas far slower than the fastest one, except for a rare probe.
func (b *Balancer) dropSlow(usable []scored, fastest float64) []scored {
	if fastest == 0 || rand.Float64() < exploreShare {
		return usable
	}
	kept := usable[:0]
	for _, candidate := range usable {
		if candidate.state.latency <= fastest*b.config.SlowFactor {
			kept = append(kept, candidate)
		}
	}
	return kept
}

func (b *Balancer) betterOfTwo(usable []scored, fastest float64) *Leaf {
	first := rand.IntN(len(usable))
	if len(usable) == 1 {
		return usable[first].leaf
	}
	second := rand.IntN(len(usable) - 1)
	if second >= first {
		second++
	}
	if b.score(usable[second], fastest) < b.score(usable[first], fastest) {
		first = second
	}
	return usable[first].leaf
}

func (b *Balancer) score(candidate scored, fastest float64) float64 {
	score := candidate.state.score(fastest)
	if candidate.leaf.Zone != b.zone {
		score *= zoneAdvantage
	}
	return score
}

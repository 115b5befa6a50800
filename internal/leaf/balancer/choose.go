package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Candidate is one replica of a shard.
type Candidate struct {
	LeafID string
	Zone   string
	// Leaving says that the leaf must receive no new attempts, by order of an operator.
	Leaving bool
	// LastResort says that the leaf is for attempts that no other can take.
	LastResort bool
	// Unallotted says that this node is allotted none of the leaf's connections, and would have to open
	// an extra one for the attempt.
	Unallotted bool
}

// Choice is the result of Choose.
type Choice struct {
	Leaf *Leaf
	// Reason says why there is no leaf to ask.
	Reason NoChoiceReason
	// Unhealthy says that the leaf is ejected, stalled or a last resort, and was chosen because there is no other.
	Unhealthy bool
	// ExpectedSlowdown is the expected latency of the attempt as a multiple of the typical one; 0 if unknown.
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

// Factors by which an expected latency counts for more than it is.
const (
	// crossZoneDelay is for replicas in another zone: their link is slower and more expensive, so that the own zone is
	// left only for a leaf that is clearly slow, or by a hedge.
	crossZoneDelay = 3
	// newConnectionDelay is for replicas to which this node would have to open a connection, which costs the leaf a
	// moment of a slot.
	newConnectionDelay = 3
	// crossZoneCost is like crossZoneDelay, where only latencies of this node are known and not slowdowns.
	crossZoneCost = 2
)

// delayJitter spreads the choices of nodes with the same state, so that they don't all turn to the same replica at once;
// a share of the expected delay.
const delayJitter = 0.1

// exploreShare is the share of choices that may still go to a replica far slower than its
// peers, so that its recovery is noticed.
const exploreShare = 0.01

// commonReplicas is how many replicas of a shard are compared without allocating memory.
const commonReplicas = 4

// Choose decides which replica of a shard gets an attempt.
//
// Inputs: the candidates, the ids of those that must not be taken (mostly because they were tried), and the state of
// each leaf at this moment, see status.
//
// Rule:
//  1. Tried, leaving and draining replicas are left out, and those at their in-flight limit.
//  2. Ejected and stalled replicas and those of last resort are taken only if there is no other (see isEjected,
//     isStalled and Candidate.LastResort).
//  3. A replica that is warming up takes part in a share of the choices only, so that its caches fill first.
//  4. If the slowdown of any replica is known, the one with the least expected delay wins: its slowdown, times how much
//     longer attempts take because others wait there, with penalties for another zone and for a new connection.
//  5. Otherwise replicas whose latency is Config.SlowFactor times that of the fastest are left out, and the better one
//     of two random replicas wins, by attempts in flight and reported load, times latency. Two random choices keep nodes
//     with the same state from all turning to the same replica.
//
// With Config.Method Random, any replica of step 2 is taken.
func (b *Balancer) Choose(candidates []Candidate, tried []string) Choice {
	var buffer [commonReplicas]scored
	var fallbackBuffer [commonReplicas]scored
	usable, unhealthy, reason := b.usable(candidates, tried, buffer[:0], fallbackBuffer[:0])
	if len(usable) == 0 {
		return Choice{Reason: reason}
	}
	if b.config.Method == Random {
		return Choice{Leaf: usable[rand.IntN(len(usable))].leaf, Unhealthy: unhealthy}
	}
	usable = dropCold(usable)
	if isCompared(usable) {
		return b.leastDelay(usable, unhealthy)
	}
	fastest := fastestLatency(usable)
	usable = b.dropSlow(usable, fastest)
	return Choice{Leaf: b.betterOfTwo(usable, fastest), Unhealthy: unhealthy}
}

// usable returns the replicas that may be asked, appended to one of two empty buffers, and whether they are unhealthy
// ones; if there are none, the reason.
func (b *Balancer) usable(candidates []Candidate, tried []string, healthy, fallback []scored) (usable []scored, unhealthy bool, reason NoChoiceReason) {
	now := b.now()
	reason = NoReplica
	for _, candidate := range candidates {
		if slices.Contains(tried, candidate.LeafID) || candidate.Leaving || b.isLeaving(candidate.LeafID, now) {
			continue
		}
		leaf := b.leaf(candidate.LeafID, candidate.Zone, now)
		state := leaf.status(b.config, now)
		switch {
		case state.draining:
		case state.full:
			reason = ReplicasFull
		case state.ejected, state.stalled, candidate.LastResort:
			fallback = append(fallback, scored{leaf, state, candidate.Unallotted})
		default:
			healthy = append(healthy, scored{leaf, state, candidate.Unallotted})
		}
	}
	if len(healthy) == 0 {
		return fallback, true, reason
	}
	return healthy, false, reason
}

// scored is a replica with its leaf's status at the moment of the choice.
type scored struct {
	leaf       *Leaf
	state      status
	unallotted bool
}

// expectedSlowdown returns the expected latency of an attempt as a multiple of the typical one.
func (s scored) expectedSlowdown() float64 {
	expected := s.state.slowness * s.state.queueing
	if s.unallotted {
		return expected * newConnectionDelay
	}
	return expected
}

// dropCold leaves a replica that is colder than its peers out of some choices, so that it
// warms up on a growing share of its load.
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

// leastDelay returns the replica that is expected to answer first.
func (b *Balancer) leastDelay(usable []scored, unhealthy bool) Choice {
	var best Choice
	least := math.Inf(1)
	for _, candidate := range usable {
		expected := candidate.expectedSlowdown()
		delay := expected * (1 + delayJitter*rand.Float64())
		if candidate.leaf.Zone != b.zone {
			delay *= crossZoneDelay
		}
		if delay < least {
			least = delay
			best = Choice{Leaf: candidate.leaf, Unhealthy: unhealthy, ExpectedSlowdown: expected}
		}
	}
	return best
}

// fastestLatency returns the lowest known latency in seconds; 0 if none is known.
func fastestLatency(usable []scored) float64 {
	fastest := 0.0
	for _, candidate := range usable {
		if latency := candidate.state.latency; latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	return fastest
}

// dropSlow leaves out replicas far slower than the fastest one, except in a small share of choices.
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

// betterOfTwo returns the better one of two random replicas.
func (b *Balancer) betterOfTwo(usable []scored, fastest float64) *Leaf {
	first := rand.IntN(len(usable))
	if len(usable) == 1 {
		return usable[first].leaf
	}
	second := rand.IntN(len(usable) - 1)
	if second >= first {
		second++
	}
	if b.cost(usable[second], fastest) < b.cost(usable[first], fastest) {
		first = second
	}
	return usable[first].leaf
}

// cost returns the expected cost of an attempt at a replica, with the penalty for another zone.
func (b *Balancer) cost(candidate scored, fastest float64) float64 {
	cost := candidate.state.cost(fastest)
	if candidate.leaf.Zone != b.zone {
		cost *= crossZoneCost
	}
	return cost
}

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
	// Leaving says that the leaf must get no new attempts: it is marked as leaving, or its zone is evacuated.
	Leaving bool
	// LastResort says that the leaf is used only if no other replica can take the attempt.
	LastResort bool
	// Unallotted says that this node is allotted none of the leaf's connections and would have to open an extra one for
	// the attempt.
	Unallotted bool
}

// Choice is the result of Choose.
type Choice struct {
	Leaf *Leaf
	// Reason says why Leaf is nil.
	Reason NoChoiceReason
	// Unhealthy says that the leaf is ejected, stalled or a last resort, and was chosen because no other is usable.
	Unhealthy bool
	// ExpectedSlowdown is the expected latency of the attempt as a multiple of the typical latency; 0 if unknown.
	ExpectedSlowdown float64
}

// NoChoiceReason says why no replica was chosen.
type NoChoiceReason string

// Reasons why no replica was chosen.
const (
	// NoReplica means that there are no replicas, or that each has been tried, is leaving or is draining.
	NoReplica NoChoiceReason = "NO_REPLICA"
	// ReplicasFull means that every usable replica is at its in-flight limit.
	ReplicasFull NoChoiceReason = "REPLICAS_FULL"
)

// Penalty factors for the expected delay or cost of an attempt.
const (
	// crossZoneDelayFactor applies to replicas in another zone, whose link is slower and more expensive. Attempts leave
	// the node's own zone only if its replicas are clearly slow, or as hedges.
	crossZoneDelayFactor = 3
	// newConnectionDelayFactor applies to replicas to which this node would have to open a connection, which briefly
	// occupies a slot of the leaf.
	newConnectionDelayFactor = 3
	// crossZoneCostFactor applies instead if no slowness is known, but only latencies of this node.
	crossZoneCostFactor = 2
)

// delayJitter is the maximum random increase of an expected delay, as a fraction. It keeps nodes with the same state
// from all choosing the same replica.
const delayJitter = 0.1

// exploreFraction is the fraction of choices that may still go to a replica far slower than its peers, so that its
// recovery is noticed.
const exploreFraction = 0.01

// inlineReplicas is the number of replicas of a shard that Choose compares without allocating memory.
const inlineReplicas = 4

// Choose selects the replica of a shard for an attempt.
//
// Inputs: the candidates, the IDs of the leafs to exclude (usually because they were tried), and the current status of
// each leaf.
//
// Rule:
//  1. Tried, leaving and draining replicas are excluded, and so are replicas at their in-flight limit.
//  2. Ejected, stalled and last-resort replicas are used only if there is no other (see isEjected, isStalled and
//     Candidate.LastResort).
//  3. A replica that is warming up takes part in only a fraction of the choices, so that its caches can fill.
//  4. If the slowness of any replica is known, the replica with the lowest expected delay is chosen. The delay is the
//     slowness multiplied by the queueing factor, with penalties for another zone and for a new connection.
//  5. Otherwise, replicas slower than Config.SlowFactor times the fastest one are excluded. Of two replicas selected at
//     random, the one with the lower cost is chosen, which is its load multiplied by its latency. The random selection
//     keeps nodes with the same state from all choosing the same replica.
//
// With the method Random, any replica that remains after step 2 is chosen.
func (b *Balancer) Choose(candidates []Candidate, tried []string) Choice {
	var buffer [inlineReplicas]scored
	var fallbackBuffer [inlineReplicas]scored
	usable, unhealthy, reason := b.usable(candidates, tried, buffer[:0], fallbackBuffer[:0])
	if len(usable) == 0 {
		return Choice{Reason: reason}
	}
	if b.cfg.Method == Random {
		return Choice{Leaf: usable[rand.IntN(len(usable))].leaf, Unhealthy: unhealthy}
	}
	usable = dropCold(usable)
	if hasKnownSlowness(usable) {
		return b.leastDelay(usable, unhealthy)
	}
	fastest := fastestLatency(usable)
	usable = b.dropSlow(usable, fastest)
	return Choice{Leaf: b.betterOfTwo(usable, fastest), Unhealthy: unhealthy}
}

// usable returns the replicas that can take an attempt, appended to one of two empty buffers, and whether they are
// unhealthy. If there are none, it returns the reason.
func (b *Balancer) usable(candidates []Candidate, tried []string, healthy, fallback []scored) (usable []scored, unhealthy bool, reason NoChoiceReason) {
	now := b.now()
	reason = NoReplica
	for _, candidate := range candidates {
		if slices.Contains(tried, candidate.LeafID) || candidate.Leaving || b.isLeaving(candidate.LeafID, now) {
			continue
		}
		leaf := b.leaf(candidate.LeafID, candidate.Zone, now)
		state := leaf.status(b.cfg, now)
		switch {
		case state.draining:
		case state.atLimit:
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

// scored is a replica with its leaf's status at the time of the choice.
type scored struct {
	leaf       *Leaf
	state      status
	unallotted bool
}

// expectedSlowdown returns the expected latency of an attempt as a multiple of the typical latency.
func (s scored) expectedSlowdown() float64 {
	expected := s.state.slowness * s.state.queueing
	if s.unallotted {
		return expected * newConnectionDelayFactor
	}
	return expected
}

// dropCold excludes a replica that is less warmed up than its peers from some of the choices, so that its load grows
// gradually.
func dropCold(usable []scored) []scored {
	warmest := 0.0
	for _, candidate := range usable {
		warmest = max(warmest, candidate.state.warmUpFraction)
	}
	kept := usable[:0]
	for _, candidate := range usable {
		if candidate.state.warmUpFraction >= warmest || rand.Float64()*warmest < candidate.state.warmUpFraction {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// hasKnownSlowness reports whether the slowness of at least one replica is known.
func hasKnownSlowness(usable []scored) bool {
	for _, candidate := range usable {
		if candidate.state.slownessKnown {
			return true
		}
	}
	return false
}

// leastDelay returns the replica with the lowest expected delay.
func (b *Balancer) leastDelay(usable []scored, unhealthy bool) Choice {
	var best Choice
	least := math.Inf(1)
	for _, candidate := range usable {
		expected := candidate.expectedSlowdown()
		delay := expected * (1 + delayJitter*rand.Float64())
		if candidate.leaf.Zone != b.zone {
			delay *= crossZoneDelayFactor
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

// dropSlow excludes replicas far slower than the fastest one, except in a small fraction of choices.
func (b *Balancer) dropSlow(usable []scored, fastest float64) []scored {
	if fastest == 0 || rand.Float64() < exploreFraction {
		return usable
	}
	kept := usable[:0]
	for _, candidate := range usable {
		if candidate.state.latency <= fastest*b.cfg.SlowFactor {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// betterOfTwo returns the replica with the lower cost of two selected at random.
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
		cost *= crossZoneCostFactor
	}
	return cost
}

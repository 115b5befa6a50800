package scatter

import (
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// launch starts an attempt for a shard and reports whether it did. It doesn't while the scatter waits for a probe (see
// mustDelay), or without a usable replica or a token in the budget (see waitOrSettle). A hedge is not sent to an
// unhealthy replica, nor if Policy.WorthHedging reports false: it would add load without helping the request.
func (s *Scatter[Reply]) launch(index int, kind Kind, takeBudget func() bool) bool {
	shard := &s.shards[index]
	if s.mustDelay(index) {
		s.delay(shard)
		return false
	}
	choice := s.choose(index)
	if choice.Leaf == nil {
		s.waitOrSettle(shard, Reason(choice.Reason))
		return false
	}
	if kind == Hedge && (choice.Unhealthy || !s.plan.Shards[index].Policy.WorthHedging(choice.ExpectedSlowdown)) {
		return false
	}
	if !takeBudget() {
		s.waitOrSettle(shard, shard.reason)
		return false
	}
	s.start(index, kind, choice.Leaf)
	return true
}

// start starts an attempt on a leaf.
func (s *Scatter[Reply]) start(index int, kind Kind, leaf *balancer.Leaf) {
	now := time.Now()
	shard, policy := &s.shards[index], s.plan.Shards[index].Policy
	shard.addAttempt(leaf.ID, now)
	if !shard.isCounted {
		shard.isCounted = true
		policy.FirstAttempt()
	}
	attempt := Attempt{
		Shard: index, Number: shard.attempts, Kind: kind, Leaf: leaf, Started: now, Deadline: s.plan.Deadline,
		Probe: s.isCautious(),
	}
	if attempt.Probe {
		s.caution.addProbe(now)
	}
	s.caution.unresolved++
	s.summary.count(kind)
	s.deps.Balancer.Start(leaf)
	s.scheduleHedge(index, now)
	s.deps.Observer.AttemptStarted(attempt)
	typical := policy.TypicalLatency()
	cancel := s.deps.Start(s.ctx, attempt, func(result Result[Reply]) {
		took := time.Since(attempt.Started)
		s.deps.Balancer.Finish(attempt.Leaf, result.Outcome, took, typical)
		s.deps.Observer.AttemptEnded(attempt, result, took)
		s.results <- &finishedAttempt[Reply]{attempt, result}
	})
	shard.cancels = append(shard.cancels, cancel)
}

// choose returns a replica that was not tried yet. If there is none and the plan has a ReplicaWait, it returns a replica
// that was tried and has no attempt in flight.
func (s *Scatter[Reply]) choose(index int) balancer.Choice {
	shard := &s.shards[index]
	candidates := s.candidates(index)
	choice := s.deps.Balancer.Choose(candidates, shard.tried)
	if choice.Leaf != nil || s.plan.ReplicaWait == 0 || len(shard.tried) == len(shard.inFlight) {
		return choice
	}
	inFlight := make([]string, 0, len(shard.inFlight))
	for _, attempt := range shard.inFlight {
		inFlight = append(inFlight, attempt.leafID)
	}
	return s.deps.Balancer.Choose(candidates, inFlight)
}

// candidates returns the current replicas of a shard.
func (s *Scatter[Reply]) candidates(index int) []balancer.Candidate {
	if s.plan.Refresh == nil || s.isPlanFresh {
		return s.plan.Shards[index].Candidates
	}
	return s.plan.Refresh(index)
}

// waitOrSettle handles a shard that can't be queried now. If the plan has a ReplicaWait, the shard is tried again after
// that pause unless it has an attempt in flight. Otherwise the shard is settled once it has no attempt in flight.
func (s *Scatter[Reply]) waitOrSettle(shard *shardState[Reply], reason Reason) {
	if shard.reason == "" {
		shard.reason = reason
	}
	if s.plan.ReplicaWait > 0 {
		if len(shard.inFlight) == 0 {
			shard.retryAt = time.Now().Add(s.plan.ReplicaWait)
		}
		return
	}
	s.settleIfIdle(shard)
}

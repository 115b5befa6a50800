package scatter

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// always is the budget of attempts that need none.
func always() bool { return true }

// launchFirst asks for a shard by itself; where it was asked in a group before, that is a repeat.
func (s *Scatter[Reply]) launchFirst(index int) {
	if s.shards[index].isRepeat {
		s.launch(index, Retry, s.allowRetry(index))
		return
	}
	s.launch(index, First, always)
}

// launch starts an attempt for a shard if there is a replica to ask and the budget allows it.
// Otherwise the shard waits, or is settled unless an earlier attempt is still out.
func (s *Scatter[Reply]) launch(index int, kind Kind, allow func() bool) bool {
	shard := &s.shards[index]
	if s.mustWait(index) {
		s.hold(shard)
		return false
	}
	choice := s.choose(index)
	if choice.Leaf == nil {
		s.withoutReplica(shard, Reason(choice.Reason))
		return false
	}
	// A hedge to a replica that is in trouble, or that would come too late, is wasted.
	if kind == Hedge && (choice.Unhealthy || !s.plan.Shards[index].Policy.WorthHedging(choice.ExpectedSlowdown)) {
		return false
	}
	if !allow() {
		s.withoutReplica(shard, shard.reason)
		return false
	}
	now := time.Now()
	s.admit(index, choice.Leaf, now)
	attempt := Attempt{
		Shard: index, Number: shard.attempts, Kind: kind, Leaf: choice.Leaf, Started: now, Deadline: s.plan.Deadline,
		Probe: s.isCautious(),
	}
	if attempt.Probe {
		s.probe(now)
	}
	s.underWay++
	s.count(kind)
	s.balancer.Start(choice.Leaf)
	s.scheduleHedge(index, now)
	s.observer.Began(attempt)
	typical := s.plan.Shards[index].Policy.TypicalLatency()
	cancel := s.start(s.ctx, attempt, func(result Result[Reply]) {
		took := time.Since(attempt.Started)
		s.balancer.Finish(attempt.Leaf, result.Outcome, took, typical)
		s.observer.Ended(attempt, result, took)
		s.results <- &finished[Reply]{attempt, result}
	})
	shard.cancelAll = append(shard.cancelAll, cancel)
	return true
}

// choose picks a replica that was not tried; where the shard may wait, one that was tried is
// taken again if no attempt is out there.
func (s *Scatter[Reply]) choose(index int) balancer.Choice {
	shard := &s.shards[index]
	candidates := s.candidates(index)
	choice := s.balancer.Choose(candidates, shard.tried)
	if choice.Leaf != nil || s.plan.ReplicaWait == 0 || len(shard.tried) == len(shard.inFlight) {
		return choice
	}
	busy := make([]string, 0, len(shard.inFlight))
	for _, out := range shard.inFlight {
		busy = append(busy, out.leafID)
	}
	return s.balancer.Choose(candidates, busy)
}

// candidates gives the replicas of a shard.
func (s *Scatter[Reply]) candidates(index int) []balancer.Candidate {
	if s.plan.Refresh == nil || s.isPlanFresh {
		return s.plan.Shards[index].Candidates
	}
	return s.plan.Refresh(index)
}

// admit counts an attempt into its shard.
func (s *Scatter[Reply]) admit(index int, leaf *balancer.Leaf, now time.Time) {
	shard := &s.shards[index]
	if !slices.Contains(shard.tried, leaf.ID) {
		shard.tried = append(shard.tried, leaf.ID)
	}
	shard.inFlight = append(shard.inFlight, outstanding{leaf.ID, now})
	shard.attempts++
	shard.retryAt, shard.isHeld = time.Time{}, false
	if !shard.counted {
		shard.counted = true
		s.plan.Shards[index].Policy.FirstAttempt()
	}
}

func (s *Scatter[Reply]) count(kind Kind) {
	s.summary.Attempts++
	switch kind {
	case Hedge:
		s.summary.Hedges++
	case Retry:
		s.summary.Retries++
	case First:
	}
}

// allowRetry gives the budget of a shard's next retry: none is needed where the last attempt never
// reached a leaf.
func (s *Scatter[Reply]) allowRetry(index int) func() bool {
	if s.shards[index].neverArrived {
		return always
	}
	return s.plan.Shards[index].Policy.AllowRetry
}

// withoutReplica lets a shard wait for a replica, or ends it.
func (s *Scatter[Reply]) withoutReplica(shard *shardState[Reply], reason Reason) {
	if shard.reason == "" {
		shard.reason = reason
	}
	if s.plan.ReplicaWait > 0 {
		if len(shard.inFlight) == 0 {
			shard.retryAt = time.Now().Add(s.plan.ReplicaWait)
		}
		return
	}
	s.settleUnlessOut(shard)
}

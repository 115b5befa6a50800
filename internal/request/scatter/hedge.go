package scatter

import "time"

// scheduleHedge schedules the shard's next hedge after the policy's delay for its hedge stage, counted from now: the
// start of its newest attempt, or the time at which a hedge could not be sent. A request that may run at most once is
// never hedged, since both attempts could run it.
func (s *Scatter[Reply]) scheduleHedge(index int, now time.Time) {
	shard := &s.shards[index]
	shard.hedgeAt = time.Time{}
	if s.plan.AtMostOnce || s.plan.NoHedges {
		return
	}
	if delay, more := s.plan.Shards[index].Policy.HedgeDelay(shard.hedgeStage); more {
		shard.hedgeAt = now.Add(delay)
	}
}

// sendHedge sends a hedge that is due if the shard has attempts left. It always reports the leafs with attempts in
// flight as late. A hedge that can't be sent now is rescheduled at the same stage.
func (s *Scatter[Reply]) sendHedge(index int, now time.Time) {
	shard := &s.shards[index]
	shard.hedgeAt = time.Time{}
	for _, attempt := range shard.inFlight {
		s.deps.Balancer.AttemptLate(attempt.leafID)
	}
	if !s.hasAttempts(shard) {
		return
	}
	shard.hedgeStage++
	if !s.launch(index, Hedge, s.plan.Shards[index].Policy.AllowHedge) && !shard.done {
		shard.hedgeStage--
		s.scheduleHedge(index, now)
	}
}

// Bounds that distinguish late leafs from a late node, see isNodeLate.
const (
	lateFractionLimit = 0.5                  // of all shards
	lateCountLimit    = 8                    // shards; fewer may well be late because of their leafs
	postponedFraction = 0.4                  // of the time between the start and the first postponement
	hedgePostponement = 5 * time.Millisecond // added to a due hedge by each postponement
)

// isNodeLate reports whether due hedges must be postponed because this node, rather than the leafs, is probably late:
// at least lateCountLimit shards and more than lateFractionLimit of all shards are open, not counting groups in flight.
// That many leafs are rarely slow at once, and hedges would add load to a node that is short of CPU. Hedges are
// postponed for at most postponedFraction of the time from the start of Run until the first postponement.
func (s *Scatter[Reply]) isNodeLate(now time.Time) bool {
	open := s.open - s.groups.openShards
	if open < lateCountLimit || float64(open) <= lateFractionLimit*float64(len(s.shards)) {
		return false
	}
	if s.hedgesPostponedSince.IsZero() {
		s.hedgesPostponedSince = now
	}
	return float64(now.Sub(s.hedgesPostponedSince)) <= postponedFraction*float64(s.hedgesPostponedSince.Sub(s.began))
}

// postponeHedges postpones each due hedge by hedgePostponement.
func (s *Scatter[Reply]) postponeHedges(now time.Time) {
	for index := range s.shards {
		if shard := &s.shards[index]; !shard.done && isDue(shard.hedgeAt, now) {
			shard.hedgeAt = now.Add(hedgePostponement)
		}
	}
}

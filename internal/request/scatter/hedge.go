package scatter

import "time"

// scheduleHedge schedules the shard's next hedge, counted from its newest attempt, which starts now.
//
// The delay is the policy's for the shard's hedge stage, counted from 0. A request that may run at most once is never
// hedged, since both attempts could run it.
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

// sendHedge sends a hedge that is due, if the shard has attempts left; the leafs in flight are reported as late in any
// case. A hedge that can't be sent now is scheduled again at the same stage.
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

// Bounds by which late leafs are distinguished from a node that is late itself, see isNodeLate.
const (
	lateShareLimit  = 0.5                  // of all shards
	lateCountLimit  = 8                    // shards; with fewer, slow leafs are as likely
	postponedShare  = 0.4                  // of the time from the start until hedges were first postponed
	hedgePostponing = 5 * time.Millisecond // by which a due hedge is postponed each time
)

// isNodeLate reports whether hedges must wait because this node, not the leafs, is most likely what is late.
//
// Inputs: the shards that are still open and asked one by one, the number of all shards, and the time since Run began.
//
// Rule: at least lateCountLimit shards and more than lateShareLimit of all are open when something is due. That many
// leafs are hardly ever slow together, and hedges would add to the work of a node that is short of CPU. Hedges are
// postponed for at most postponedShare of the time that had passed when the first of them was.
func (s *Scatter[Reply]) isNodeLate(now time.Time) bool {
	open := s.open - s.groups.openShards
	if open < lateCountLimit || float64(open) <= lateShareLimit*float64(len(s.shards)) {
		return false
	}
	if s.hedgesHeldSince.IsZero() {
		s.hedgesHeldSince = now
	}
	return float64(now.Sub(s.hedgesHeldSince)) <= postponedShare*float64(s.hedgesHeldSince.Sub(s.began))
}

// postponeHedges moves the hedges that are due by hedgePostponing.
func (s *Scatter[Reply]) postponeHedges(now time.Time) {
	for index := range s.shards {
		if shard := &s.shards[index]; !shard.done && isDue(shard.hedgeAt, now) {
			shard.hedgeAt = now.Add(hedgePostponing)
		}
	}
}

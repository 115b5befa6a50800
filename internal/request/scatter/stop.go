package scatter

import (
	"context"
	"time"
)

// mustWait reports whether Run must wait for more results.
//
// Run stops waiting as soon as one of these conditions holds:
//   - Every shard has an outcome. At the deadline every open shard is settled.
//   - Probes showed that the request crashes leafs (see recordCrashEvidence), or no probe may be sent (see isBlocked).
//   - The replies are sufficient and the soft deadline has passed.
//   - So many shards failed that Plan.Sufficient replies can no longer be reached.
func (s *Scatter[Reply]) mustWait() bool {
	return s.open > 0 && !s.caution.stopped && !s.isBlocked() && !s.isSufficient() && !s.cannotSuffice()
}

// isSufficient reports whether the soft deadline has passed and the replies received so far are sufficient.
func (s *Scatter[Reply]) isSufficient() bool {
	if s.plan.SoftDeadline.IsZero() || s.summary.Replies < max(1, s.plan.Sufficient) {
		return false
	}
	return !time.Now().Before(s.plan.SoftDeadline)
}

// cannotSuffice reports whether so many shards failed that Plan.Sufficient replies can no longer be reached.
func (s *Scatter[Reply]) cannotSuffice() bool {
	return s.summary.Replies+s.open < s.plan.Sufficient
}

// settleIfIdle settles a shard without a reply unless one of its attempts is in flight.
func (s *Scatter[Reply]) settleIfIdle(shard *shardState[Reply]) {
	if len(shard.inFlight) == 0 {
		s.settle(shard)
	}
}

// settle marks a shard as done.
func (s *Scatter[Reply]) settle(shard *shardState[Reply]) {
	shard.done = true
	s.open--
}

// settleOpen settles every open shard without a reply. A shard with nothing in flight keeps its earlier reason.
func (s *Scatter[Reply]) settleOpen(reason Reason) {
	for index := range s.shards {
		shard := &s.shards[index]
		if shard.done {
			continue
		}
		isQueried := len(shard.inFlight) > 0 || shard.isGrouped
		if isQueried {
			s.summary.MayHaveRun = true
		}
		if shard.reason == "" || isQueried {
			shard.reason = reason
		}
		s.settle(shard)
	}
}

// countCancelled counts the attempts still in flight, whose replies are no longer needed, and records the time that
// they have taken so far as latencies. If these slow attempts were left out, the quantile that triggers hedges would be
// too low, and hedges of ordinary attempts would use up the budget.
func (s *Scatter[Reply]) countCancelled() {
	now := time.Now()
	for index := range s.shards {
		s.summary.Cancelled += len(s.shards[index].inFlight)
		for _, attempt := range s.shards[index].inFlight {
			s.plan.Shards[index].Policy.Observe(now.Sub(attempt.started))
		}
	}
}

// cancelAttempts cancels all attempts of a shard that has a reply.
func (s *Scatter[Reply]) cancelAttempts(shard *shardState[Reply]) {
	for _, cancel := range shard.cancels {
		cancel(s.deps.Superseded)
	}
}

// cancelOutstanding cancels all groups and attempts when Run returns, with the cause of the context if it is done.
func (s *Scatter[Reply]) cancelOutstanding() {
	cause := s.deps.Superseded
	if s.ctx.Err() != nil {
		cause = context.Cause(s.ctx)
	}
	for _, cancel := range s.groups.cancels {
		cancel(cause)
	}
	for index := range s.shards {
		for _, cancel := range s.shards[index].cancels {
			cancel(cause)
		}
	}
}

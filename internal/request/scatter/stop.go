package scatter

import (
	"context"
	"time"
)

// mustWait reports whether Run must wait for more results.
//
// It ends as soon as one of these holds: every shard has an outcome; crashed probes show that the request crashes leafs
// (see recordCrashEvidence), or no probe may be sent (see isBlocked); enough replies are in and the soft deadline has
// passed; or so many shards are lost that Plan.Sufficient replies can't come any more. At the deadline every open shard
// is given up, which is the first case.
func (s *Scatter[Reply]) mustWait() bool {
	return s.open > 0 && !s.caution.stopped && !s.isBlocked() && !s.isSufficient() && !s.isHopeless()
}

// isSufficient reports whether the soft deadline has passed and the replies so far are enough.
func (s *Scatter[Reply]) isSufficient() bool {
	if s.plan.SoftDeadline.IsZero() || s.summary.Replies < max(1, s.plan.Sufficient) {
		return false
	}
	return !time.Now().Before(s.plan.SoftDeadline)
}

// isHopeless reports whether so many shards are lost that enough replies can't come any more.
func (s *Scatter[Reply]) isHopeless() bool {
	return s.summary.Replies+s.open < s.plan.Sufficient
}

// settleIfIdle settles a shard without a reply, unless one of its attempts is in flight.
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

// giveUp settles every open shard.
func (s *Scatter[Reply]) giveUp(reason Reason) {
	for index := range s.shards {
		shard := &s.shards[index]
		if shard.done {
			continue
		}
		isQueried := len(shard.inFlight) > 0 || shard.isGrouped
		if isQueried {
			s.summary.MaybeRan = true
		}
		if shard.reason == "" || isQueried {
			shard.reason = reason
		}
		s.settle(shard)
	}
}

// countCancelled counts the attempts in flight whose replies are no longer needed. The time that they took so far is
// observed as their latency: without the stragglers the quantile by which hedges are sent would be too low, and hedges
// of ordinary attempts would use up the budget.
func (s *Scatter[Reply]) countCancelled() {
	now := time.Now()
	for index := range s.shards {
		s.summary.Cancelled += len(s.shards[index].inFlight)
		for _, attempt := range s.shards[index].inFlight {
			s.plan.Shards[index].Policy.Observe(now.Sub(attempt.started))
		}
	}
}

// cancelAttempts cancels the attempts of a shard that has its reply.
func (s *Scatter[Reply]) cancelAttempts(shard *shardState[Reply]) {
	for _, cancel := range shard.cancels {
		cancel(s.deps.Superseded)
	}
}

// cancelOutstanding cancels all groups and attempts when Run returns.
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

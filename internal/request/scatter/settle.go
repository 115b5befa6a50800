package scatter

import "time"

// settleUnlessOut ends a shard with no reply, unless an attempt is still out.
func (s *Scatter[Reply]) settleUnlessOut(shard *shardState[Reply]) {
	if len(shard.inFlight) == 0 {
		s.settle(shard)
	}
}

func (s *Scatter[Reply]) settle(shard *shardState[Reply]) {
	shard.done = true
	s.open--
}

// abandon ends the attempts of a shard that has its reply.
func (s *Scatter[Reply]) abandon(shard *shardState[Reply]) {
	for _, cancel := range shard.cancelAll {
		cancel(s.superseded)
	}
}

// giveUp settles every open shard.
func (s *Scatter[Reply]) giveUp(reason Reason) {
	for index := range s.shards {
		shard := &s.shards[index]
		if shard.done {
			continue
		}
		isAsked := len(shard.inFlight) > 0 || shard.isGrouped
		if isAsked {
			s.summary.MaybeRan = true
		}
		if shard.reason == "" || isAsked {
			shard.reason = reason
		}
		s.settle(shard)
	}
}

// countCancelled counts the attempts whose reply nobody waits for any more. What they took so
// far counts as their latency: left out, stragglers would vanish from the quantile by which
// hedges are sent, and hedges of ordinary attempts would use up the budget.
func (s *Scatter[Reply]) countCancelled() {
	now := time.Now()
	for index := range s.shards {
		s.summary.Cancelled += len(s.shards[index].inFlight)
		for _, out := range s.shards[index].inFlight {
			s.plan.Shards[index].Policy.Observe(now.Sub(out.started))
		}
	}
}

func (s *Scatter[Reply]) outcomes() []Outcome[Reply] {
	outcomes := make([]Outcome[Reply], len(s.shards))
	for index := range s.shards {
		shard := &s.shards[index]
		outcomes[index] = Outcome[Reply]{Reply: shard.reply, Leaf: shard.leaf, Reason: shard.reason, Attempts: shard.attempts}
	}
	return outcomes
}

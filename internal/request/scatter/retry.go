package scatter

import "time"

// mayRetry reports whether a shard is retried after an attempt without a usable reply: unless the result is final, the
// request's context is done, or the shard has no attempts left (see hasAttempts). A request that may run at most once
// also needs proof that the attempt did not run, since a retry could run it twice. The retry itself still needs a
// replica and a token in the retry budget (see launch and retryBudget).
func (s *Scatter[Reply]) mayRetry(shard *shardState[Reply], result Result[Reply]) bool {
	if result.Final || s.ctx.Err() != nil || !s.hasAttempts(shard) {
		return false
	}
	return !s.plan.AtMostOnce || result.Execution == NotRun
}

// hasAttempts reports whether the shard has attempts left. Up to MaximumRefusals attempts that did not run do not count
// toward MaximumAttempts, since they cost the leafs almost nothing.
func (s *Scatter[Reply]) hasAttempts(shard *shardState[Reply]) bool {
	return shard.attempts-min(shard.refusals, s.plan.MaximumRefusals) < s.plan.MaximumAttempts
}

// retryBudget returns the function that takes a token for the shard's next retry. A retry after an attempt that never
// reached a leaf takes none, since the leafs receive only one request.
func (s *Scatter[Reply]) retryBudget(index int) func() bool {
	if s.shards[index].neverArrived {
		return unlimited
	}
	return s.plan.Shards[index].Policy.AllowRetry
}

// unlimited is the budget of attempts that take no token.
func unlimited() bool { return true }

// launchFirst starts the first direct attempt for a shard. The attempt counts as a retry if the shard may have been
// queried before, in a group or by another node.
func (s *Scatter[Reply]) launchFirst(index int) {
	if s.shards[index].isRepeat {
		s.launch(index, Retry, s.retryBudget(index))
		return
	}
	s.launch(index, First, unlimited)
}

// sendWaiting starts an attempt for a shard whose pause is over. The attempt is not a retry if it is the shard's first.
func (s *Scatter[Reply]) sendWaiting(index int) {
	shard := &s.shards[index]
	shard.retryAt = time.Time{}
	if shard.attempts == 0 {
		s.launchFirst(index)
		return
	}
	s.launch(index, Retry, s.retryBudget(index))
}

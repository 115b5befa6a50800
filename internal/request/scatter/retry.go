package scatter

import "time"

// mayRetry reports whether a shard is asked again after an attempt without a usable reply.
//
// Inputs: the attempt's result, the shard's counts of attempts and refusals, the plan's bounds, and whether the
// request's time is over.
//
// Rule: yes, unless the result is final, the time is over, or the shard has used up its attempts (see hasAttempts). A
// request that may run at most once also needs proof that the attempt did not run, since a retry could run it twice.
// The retry itself still needs a replica and room in the retry budget, see launch and retryBudget.
func (s *Scatter[Reply]) mayRetry(shard *shardState[Reply], result Result[Reply]) bool {
	if result.Final || s.ctx.Err() != nil || !s.hasAttempts(shard) {
		return false
	}
	return !s.plan.AtMostOnce || result.Execution == NotRun
}

// hasAttempts reports whether the shard may be asked once more. Up to MaximumRefusals attempts that did not run do not
// count toward MaximumAttempts: they cost the leafs next to nothing.
func (s *Scatter[Reply]) hasAttempts(shard *shardState[Reply]) bool {
	return shard.attempts-min(shard.refusals, s.plan.MaximumRefusals) < s.plan.MaximumAttempts
}

// retryBudget returns the function that takes a shard's next retry from the budget. A retry after an attempt that never
// reached a leaf is free, since the leafs see only one request.
func (s *Scatter[Reply]) retryBudget(index int) func() bool {
	if s.shards[index].neverArrived {
		return unlimited
	}
	return s.plan.Shards[index].Policy.AllowRetry
}

// unlimited is the budget of attempts that need none.
func unlimited() bool { return true }

// launchFirst starts the first attempt that a shard gets by itself. It counts as a retry if the shard may have been
// asked before, in a group or by another node.
func (s *Scatter[Reply]) launchFirst(index int) {
	if s.shards[index].isRepeat {
		s.launch(index, Retry, s.retryBudget(index))
		return
	}
	s.launch(index, First, unlimited)
}

// sendWaiting asks a shard whose pause is over. It is no retry if the shard had no attempt yet.
func (s *Scatter[Reply]) sendWaiting(index int) {
	shard := &s.shards[index]
	shard.retryAt = time.Time{}
	if shard.attempts == 0 {
		s.launchFirst(index)
		return
	}
	s.launch(index, Retry, s.retryBudget(index))
}

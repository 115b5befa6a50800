package scatter

import "time"

// idleTimer is how long the timer sleeps when nothing is due.
const idleTimer = time.Hour

// scheduleHedge sets when the shard's next hedge is due, counted from its newest attempt.
func (s *Scatter[Reply]) scheduleHedge(index int, now time.Time) {
	shard := &s.shards[index]
	shard.hedgeAt = time.Time{}
	if s.plan.AtMostOnce || s.plan.NoHedges {
		return
	}
	if delay, more := s.plan.Shards[index].Policy.HedgeDelay(shard.stage); more {
		shard.hedgeAt = now.Add(delay)
	}
}

// untilNext gives the time until the next hedge, retry or the soft deadline.
func (s *Scatter[Reply]) untilNext() time.Duration {
	var next time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for index := range s.shards {
		if shard := &s.shards[index]; !shard.done {
			consider(shard.hedgeAt)
			consider(shard.retryAt)
		}
	}
	if s.summary.Replies >= max(1, s.plan.Sufficient) {
		consider(s.plan.SoftDeadline)
	}
	if next.IsZero() {
		return idleTimer
	}
	return time.Until(next)
}

// sendDue sends the hedges and retries that are due.
func (s *Scatter[Reply]) sendDue() {
	now := time.Now()
	for index := range s.shards {
		shard := &s.shards[index]
		if shard.done {
			continue
		}
		if isDue(shard.hedgeAt, now) {
			s.sendHedge(index, now)
		}
		if isDue(shard.retryAt, now) {
			s.sendWaiting(index)
		}
	}
}

func isDue(at, now time.Time) bool { return !at.IsZero() && !at.After(now) }

func (s *Scatter[Reply]) sendHedge(index int, now time.Time) {
	shard := &s.shards[index]
	shard.hedgeAt = time.Time{}
	for _, out := range shard.inFlight {
		s.balancer.Late(out.leafID)
	}
	if !s.hasAttempts(shard) {
		return
	}
	shard.stage++
	if !s.launch(index, Hedge, s.plan.Shards[index].Policy.AllowHedge) && !shard.done {
		// There is no room or no replica now; the shard may still be late when there is.
		shard.stage--
		s.scheduleHedge(index, now)
	}
}

// sendWaiting asks for a shard that waited: its first attempt is no retry.
func (s *Scatter[Reply]) sendWaiting(index int) {
	shard := &s.shards[index]
	shard.retryAt = time.Time{}
	if shard.attempts == 0 {
		s.launch(index, First, always)
		return
	}
	s.launch(index, Retry, s.plan.Shards[index].Policy.AllowRetry)
}

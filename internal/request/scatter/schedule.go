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
	consider(s.groupsAt)
	if next.IsZero() {
		return idleTimer
	}
	return time.Until(next)
}

// sendDue sends the hedges and retries that are due.
func (s *Scatter[Reply]) sendDue() {
	now := time.Now()
	if isDue(s.groupsAt, now) {
		s.startHeldGroups()
	}
	if s.isLateItself(now) {
		s.postponeHedges(now)
	}
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

// Where more shards than these are late together, it is most likely this node that is late, and
// hedges would only add to its work: they wait for a part of the time that they waited already.
const (
	mostLateShare  = 0.5
	leastLateCount = 8
	heldPart       = 0.4
)

// isLateItself reports whether so many shards are late at once that leafs can hardly be the cause.
func (s *Scatter[Reply]) isLateItself(now time.Time) bool {
	open := s.open - s.grouped
	if open < leastLateCount || float64(open) <= mostLateShare*float64(len(s.shards)) {
		return false
	}
	if s.heldSince.IsZero() {
		s.heldSince = now
	}
	return float64(now.Sub(s.heldSince)) <= heldPart*float64(s.heldSince.Sub(s.began))
}

// postponement is how much longer hedges wait that are due while the node itself is late.
const postponement = 5 * time.Millisecond

// postponeHedges lets the hedges that are due wait a little.
func (s *Scatter[Reply]) postponeHedges(now time.Time) {
	for index := range s.shards {
		if shard := &s.shards[index]; !shard.done && isDue(shard.hedgeAt, now) {
			shard.hedgeAt = now.Add(postponement)
		}
	}
}

func isDue(at, now time.Time) bool { return !at.IsZero() && !at.After(now) }

func (s *Scatter[Reply]) sendHedge(index int, now time.Time) {
	shard := &s.shards[index]
	shard.hedgeAt = time.Time{}
	for _, out := range shard.inFlight {
		s.balancer.AttemptLate(out.leafID)
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
		s.launchFirst(index)
		return
	}
	s.launch(index, Retry, s.allowRetry(index))
}

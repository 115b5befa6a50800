package scatter

import "time"

// idleTimer is the duration of the timer if nothing is scheduled; a result or the deadline comes first.
const idleTimer = time.Hour

// untilNext returns the time until the next hedge, retry or start of the groups, or until the soft deadline if the
// replies are sufficient.
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
	consider(s.groups.startBy)
	if next.IsZero() {
		return idleTimer
	}
	return time.Until(next)
}

// sendDue starts the groups, hedges and retries that are due.
func (s *Scatter[Reply]) sendDue() {
	now := time.Now()
	if isDue(s.groups.startBy, now) {
		s.startDelayedGroups()
	}
	if s.isNodeLate(now) {
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

// isDue reports whether a time is set and not after now.
func isDue(at, now time.Time) bool { return !at.IsZero() && !at.After(now) }

package scatter

import "time"

// A request may be what ends its leafs. Once a leaf broke off its answer, and as long as none has answered, the
// scatter is cautious: it sends one attempt at a time, a probe, and holds the others until that is back. A request
// that ends whatever runs it costs one more leaf then instead of as many as there are shards (20 instead of 40 on a
// route over 20 shards of two leafs); any other goes on with the first answer.

// LeafsCrashed means that a shard was not asked, since leafs of others had ended while they worked on the request.
const LeafsCrashed Reason = "LEAFS_ENDED"

// Bounds of how long a probe is waited for before another one may be sent: a leaf that is silent has not ended.
const (
	probeTimes    = 3 // of what an attempt usually takes
	leastProbe    = 20 * time.Millisecond
	cautiousPause = 5 * time.Millisecond // where the plan has no ReplicaWait
)

// isCautious reports whether attempts are held back.
func (s *Scatter[Reply]) isCautious() bool {
	return !s.summary.Ran && (s.plan.Cautious || s.hasBroken || s.isLeading())
}

// isLeading reports whether the first attempt is ahead of the others.
func (s *Scatter[Reply]) isLeading() bool {
	return s.plan.HeadStart > 0 && time.Since(s.began) < s.plan.HeadStart
}

// mustWait reports whether a probe is under way that an attempt for a shard must wait for.
func (s *Scatter[Reply]) mustWait(index int) bool {
	if !s.isCautious() {
		return false
	}
	if s.plan.NoProbes || s.probes == 0 {
		return s.plan.NoProbes
	}
	patience := max(leastProbe, probeTimes*s.plan.Shards[index].Policy.TypicalLatency())
	return time.Since(s.probedAt) < patience || s.isLeading()
}

// hold lets a shard without an attempt under way wait for the probe.
func (s *Scatter[Reply]) hold(shard *shardState[Reply]) {
	if len(shard.inFlight) > 0 {
		return
	}
	shard.isHeld, s.hasHeld = true, true
	if s.isLeading() {
		shard.retryAt = s.began.Add(s.plan.HeadStart)
		return
	}
	pause := s.plan.ReplicaWait
	if pause == 0 {
		pause = cautiousPause
	}
	shard.retryAt = time.Now().Add(pause)
}

// holdGroups lets the groups wait for the first attempt.
func (s *Scatter[Reply]) holdGroups() {
	s.markGroups()
	s.groupsAt = s.began.Add(s.plan.HeadStart)
	s.hasHeld = true
}

// startHeldGroups begins the attempts of the groups once they need not wait any more. A request under which a leaf ended
// is asked for by this node alone: the groups' shards are asked one by one.
func (s *Scatter[Reply]) startHeldGroups() {
	if s.groupsAt.IsZero() {
		return
	}
	if !s.summary.Ran && s.hasBroken {
		s.groupsAt = time.Time{}
		s.ungroupAll()
		return
	}
	if s.summary.Ran || !s.isLeading() {
		s.groupsAt = time.Time{}
		s.startGroups()
	}
}

// probe counts a probe in.
func (s *Scatter[Reply]) probe(now time.Time) {
	s.probes++
	s.probedAt = now
}

// learnCaution takes what an attempt's end says of the request itself.
func (s *Scatter[Reply]) learnCaution(ended *finished[Reply]) {
	s.hasBroken = s.hasBroken || ended.result.BrokeOff
	if !ended.attempt.Probe {
		return
	}
	s.probes--
	if ended.result.LeafCrashed {
		s.endedProbes++
	}
	s.isFatal = s.plan.CrashedProbesLimit > 0 && s.endedProbes >= s.plan.CrashedProbesLimit
}

// isStuck reports whether nothing more comes of a plan that sends no probes.
func (s *Scatter[Reply]) isStuck() bool {
	return s.plan.NoProbes && s.underWay == 0 && s.grouped == 0 && s.isCautious()
}

// release lets the shards go on that were held, once a leaf has answered.
func (s *Scatter[Reply]) release() {
	if !s.summary.Ran || !s.hasHeld {
		return
	}
	s.hasHeld = false
	s.startHeldGroups()
	for index := range s.shards {
		if shard := &s.shards[index]; shard.isHeld {
			shard.isHeld = false
			shard.retryAt = time.Now()
		}
	}
}

package scatter

import "time"

// LeafsCrashed is the reason for shards that were not queried because leafs of other shards crashed while running the
// request.
const LeafsCrashed Reason = "LEAFS_ENDED"

// caution tracks whether the request is suspected of crashing leafs. After a leaf's answer was cut off, and until a
// leaf answers, the scatter is cautious: it sends one attempt at a time, a probe, and delays the others until the probe
// ends. A request that crashes every leaf then crashes one more leaf instead of one per shard. Any other request
// continues with the first answer.
type caution struct {
	// connectionLost is true if the connection was lost during the answer of a leaf.
	connectionLost bool
	// crashedProbes counts the probes whose leaf crashed; stopped is true if the count reached the plan's limit.
	crashedProbes int
	stopped       bool
	// probes counts the probes in flight; the newest was sent at probedAt.
	probes   int
	probedAt time.Time
	// unresolved counts all attempts in flight, including attempts of settled shards.
	unresolved int
	// hasDelayed is true if shards or groups wait for a probe.
	hasDelayed bool
}

// addProbe counts a probe that starts now.
func (c *caution) addProbe(now time.Time) {
	c.probes++
	c.probedAt = now
}

// isCautious reports whether attempts are sent one at a time.
//
// Rule: no leaf is known to have run the request, and either the plan is cautious (leafs recently crashed while running
// the same request), the answer of a leaf was cut off, or the head start of the first attempt is not over.
func (s *Scatter[Reply]) isCautious() bool {
	return !s.summary.Ran && (s.plan.Cautious || s.caution.connectionLost || s.inHeadStart())
}

// inHeadStart reports whether the head start of the first attempt is not over.
func (s *Scatter[Reply]) inHeadStart() bool {
	return s.plan.HeadStart > 0 && time.Since(s.began) < s.plan.HeadStart
}

// Bounds of the wait for a probe before the next one is sent. A silent leaf has not crashed and must not block the
// request.
const (
	probeTimeoutFactor  = 3 // times the typical latency of an attempt
	minimumProbeTimeout = 20 * time.Millisecond
	// delayedRetryPause is the pause before a delayed shard is tried again if the plan has no ReplicaWait.
	delayedRetryPause = 5 * time.Millisecond
)

// mustDelay reports whether an attempt for a shard must wait. Attempts wait only while the scatter is cautious. A plan
// without probes then sends none. Any other plan sends one probe at a time; the next one is sent if the probe has not
// ended after the probe timeout and the head start is over.
func (s *Scatter[Reply]) mustDelay(index int) bool {
	if !s.isCautious() {
		return false
	}
	if s.plan.NoProbes || s.caution.probes == 0 {
		return s.plan.NoProbes
	}
	timeout := max(minimumProbeTimeout, probeTimeoutFactor*s.plan.Shards[index].Policy.TypicalLatency())
	return time.Since(s.caution.probedAt) < timeout || s.inHeadStart()
}

// delay makes a shard wait for the probe unless the shard has an attempt in flight.
func (s *Scatter[Reply]) delay(shard *shardState[Reply]) {
	if len(shard.inFlight) > 0 {
		return
	}
	shard.isDelayed, s.caution.hasDelayed = true, true
	if s.inHeadStart() {
		shard.retryAt = s.began.Add(s.plan.HeadStart)
		return
	}
	pause := s.plan.ReplicaWait
	if pause == 0 {
		pause = delayedRetryPause
	}
	shard.retryAt = time.Now().Add(pause)
}

// releaseDelayed schedules delayed shards and starts delayed groups once a leaf has answered.
func (s *Scatter[Reply]) releaseDelayed() {
	if !s.summary.Ran || !s.caution.hasDelayed {
		return
	}
	s.caution.hasDelayed = false
	s.startDelayedGroups()
	for index := range s.shards {
		if shard := &s.shards[index]; shard.isDelayed {
			shard.isDelayed = false
			shard.retryAt = time.Now()
		}
	}
}

// recordCrashEvidence records whether an attempt's result indicates that the request crashes leafs. The scatter stops
// after Plan.CrashedProbesLimit probes crashed their leafs: a probe is sent alone, so only its request can have caused
// the crash.
func (s *Scatter[Reply]) recordCrashEvidence(ended *finishedAttempt[Reply]) {
	s.caution.connectionLost = s.caution.connectionLost || ended.result.ConnectionLost
	if !ended.attempt.Probe {
		return
	}
	s.caution.probes--
	if ended.result.LeafCrashed {
		s.caution.crashedProbes++
	}
	s.caution.stopped = s.plan.CrashedProbesLimit > 0 && s.caution.crashedProbes >= s.plan.CrashedProbesLimit
}

// isBlocked reports whether a plan without probes is cautious and no attempt or group in flight could change that.
func (s *Scatter[Reply]) isBlocked() bool {
	return s.plan.NoProbes && s.caution.unresolved == 0 && s.groups.openShards == 0 && s.isCautious()
}

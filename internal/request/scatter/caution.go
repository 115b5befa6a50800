package scatter

import "time"

// LeafsCrashed is the reason of shards that were not asked because leafs of others crashed while they ran the request.
const LeafsCrashed Reason = "LEAFS_ENDED"

// caution is the evidence on whether the request crashes leafs, and the probes that are sent to find out.
//
// Once a leaf broke off its answer, and until a leaf has answered, the scatter is cautious: it sends one attempt at a
// time, a probe, and holds the others until that has ended. A request that crashes every leaf then costs one more leaf
// instead of one for each shard; any other goes on with the first answer.
type caution struct {
	// brokeOff says that a leaf broke off its answer.
	brokeOff bool
	// crashedProbes counts the probes whose leaf crashed; stopped says that they reached the plan's limit.
	crashedProbes int
	stopped       bool
	// probes counts the probes in flight; the last was sent at probedAt.
	probes   int
	probedAt time.Time
	// unresolved counts all attempts in flight, those of settled shards included.
	unresolved int
	// hasDelayed says that shards or groups wait for a probe.
	hasDelayed bool
}

// addProbe counts a probe that starts now.
func (c *caution) addProbe(now time.Time) {
	c.probes++
	c.probedAt = now
}

// isCautious reports whether attempts are sent one at a time.
//
// Rule: no leaf has run the request, and either the plan is cautious from the start (leafs crashed under the same
// request lately), a leaf broke off its answer, or the head start of the first attempt lasts.
func (s *Scatter[Reply]) isCautious() bool {
	return !s.summary.Ran && (s.plan.Cautious || s.caution.brokeOff || s.inHeadStart())
}

// inHeadStart reports whether the first attempt is still ahead of the others.
func (s *Scatter[Reply]) inHeadStart() bool {
	return s.plan.HeadStart > 0 && time.Since(s.began) < s.plan.HeadStart
}

// Bounds of how long a probe is awaited before the next one is sent: a leaf that is silent has not crashed, and must
// not block the request.
const (
	probeTimeoutFactor  = 3 // times the typical latency of an attempt
	minimumProbeTimeout = 20 * time.Millisecond
	// delayedRetryPause is the pause after which a delayed shard is tried again if the plan has no ReplicaWait.
	delayedRetryPause = 5 * time.Millisecond
)

// mustDelay reports whether an attempt for a shard must wait.
//
// Rule: only while the scatter is cautious. A plan without probes then sends no attempt at all. Any other sends one probe
// at a time; if that has not ended after the probe timeout, and the head start is over, the next one is sent.
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

// delay makes a shard wait for the probe, unless it has an attempt in flight.
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

// releaseDelayed lets delayed shards and groups go on once a leaf has answered.
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

// recordCrashEvidence records what the end of an attempt says about the request itself. The request is given up once
// Plan.CrashedProbesLimit probes crashed their leafs: a probe is sent alone, so nothing else explains the crash.
func (s *Scatter[Reply]) recordCrashEvidence(ended *finished[Reply]) {
	s.caution.brokeOff = s.caution.brokeOff || ended.result.BrokeOff
	if !ended.attempt.Probe {
		return
	}
	s.caution.probes--
	if ended.result.LeafCrashed {
		s.caution.crashedProbes++
	}
	s.caution.stopped = s.plan.CrashedProbesLimit > 0 && s.caution.crashedProbes >= s.plan.CrashedProbesLimit
}

// isBlocked reports whether a plan without probes is cautious and has nothing in flight that could end the caution.
func (s *Scatter[Reply]) isBlocked() bool {
	return s.plan.NoProbes && s.caution.unresolved == 0 && s.groups.openShards == 0 && s.isCautious()
}

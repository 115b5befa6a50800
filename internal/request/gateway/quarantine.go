package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// A crashing request crashes each leaf that runs it. Its caller sends it again, with another id and to any node, so
// that it must be recognised by its fingerprint at the next attempt, the next time it is sent and the next node:
// otherwise it takes one leaf after the other away from all other requests. Package quarantine evaluates the evidence and
// keeps the state of each request; this file says what a request in each state may do, and crash.go finds the evidence.
//
//	Clear        no limits, but a head start for the first attempt of a gathered request during an alert
//	Suspect      attempts are made one at a time, as probes, until a leaf has answered; no other node is asked
//	Quarantined  no attempt is made, and those in flight are cancelled

// reasonQuarantined is the reason of a shard that is not asked, since the request was quarantined meanwhile.
const reasonQuarantined scatter.Reason = "QUARANTINED"

// errQuarantined ends an execution whose request was quarantined meanwhile. Its attempts are cancelled at once, which
// saves the leafs that have not begun to run them.
var errQuarantined = errors.New("the request crashes the leafs that run it")

// Bounds of the head start that the first attempt of a gathered request has during an alert. An alert lasts for a while
// after any request was quarantined: crashing requests rarely come alone.
const (
	// headStartFactor is how many typical latencies the head start is.
	headStartFactor = 3
	// minimumHeadStart is the shortest head start: a leaf that crashes needs some time to do so.
	minimumHeadStart = 20 * time.Millisecond
)

// watch registers the execution as in flight and with the quarantine register, so that it is ended when its request is
// quarantined or its deadline passed during a suspension. release must be called at its end.
func (e *execution) watch(ctx context.Context) (watched context.Context, release func()) {
	watched, cancel := context.WithCancelCause(ctx)
	e.cancel = cancel
	e.gateway.inFlight.add(e)
	if e.gateway.quarantine != nil {
		subject := quarantine.NewSubject(e.request.fingerprint, e.request.Path, e.request.Caller)
		e.tracked = e.gateway.quarantine.Begin(subject, e.stop)
	}
	return watched, func() {
		if e.tracked != nil {
			e.tracked.End()
		}
		e.gateway.inFlight.remove(e)
		cancel(nil)
	}
}

// stop ends an execution whose request is quarantined.
func (e *execution) stop() { e.cancel(errQuarantined) }

// isStopped reports whether the request was quarantined after the execution began.
func (e *execution) isStopped() bool { return e.tracked != nil && e.tracked.IsStopped() }

// quarantineState returns the state of the request when the execution began.
func (e *execution) quarantineState() quarantine.State {
	if e.tracked == nil {
		return quarantine.Clear
	}
	return e.tracked.State()
}

// quarantineFailure returns the failure of a quarantined request. Its caller is invited to come back, at the end of the
// quarantine's term, only if no leaf has the request.
func (e *execution) quarantineFailure(execution failure.ExecutionState) error {
	failed := failure.New(failure.Quarantined, execution, "leafs crashed while they ran this request; no more are asked (%s)", e.request.fingerprint)
	if execution != failure.NotRun {
		return failed
	}
	return failed.WithRetryAfter(e.gateway.quarantine.RetryAfter(e.request.fingerprint))
}

// probeSuspects sets how a plan limits the leafs that a request may crash: the attempts of a suspect are probes, sent
// one at a time; the request is given up after CrashedProbesLimit leafs crashed during probes; and a gathered request has one
// attempt ahead of the others during an alert. A group for another node is given up instead of probed: probes of each
// group would crash more leafs than those of the root alone.
func (e *execution) probeSuspects(plan *scatter.Plan) {
	if e.tracked == nil {
		return
	}
	plan.NoProbes = e.partial != nil
	plan.Cautious = e.quarantineState() == quarantine.Suspect
	plan.CrashedProbesLimit = quarantine.CrashedProbesLimit
	if e.tracked.IsAlert() && e.isGathered() && e.partial == nil {
		plan.HeadStart = max(minimumHeadStart, headStartFactor*e.gatheredLatency.typical())
	}
}

// keepOneShard removes a shard from the groups if they have all shards, so that this node can make one attempt ahead of
// them.
func keepOneShard(groups []group, services int) []group {
	grouped := 0
	for _, group := range groups {
		grouped += len(group.shards)
	}
	if len(groups) == 0 || grouped < services {
		return groups
	}
	kept := slices.Clone(groups)
	kept[0].shards = kept[0].shards[1:]
	return kept
}

// probeNumber numbers an attempt among the probes from 1; it returns 0 for other attempts.
func (e *execution) probeNumber(attempt scatter.Attempt) int {
	if !attempt.Probe {
		return 0
	}
	e.probes++
	return e.probes
}

// notSent is the result of an attempt that is not made, since the request was quarantined.
func notSent() attemptResult {
	return attemptResult{
		Reason: reasonQuarantined, Execution: scatter.NotRun, Outcome: balancer.Abandoned, Final: true, NeverArrived: true,
	}
}

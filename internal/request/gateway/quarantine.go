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

// A crashing request crashes each leaf that runs it. Its caller sends it again, with another ID and to any node. Each
// node must therefore recognize it by its fingerprint at each attempt; otherwise it crashes leafs that other requests
// need. Package quarantine evaluates the evidence and stores the state of each request, crash.go collects the evidence,
// and this file limits what a request in each state may do:
//
//	Clear        no limits, except a head start for the first attempt of a gathered request during an alert
//	Suspect      attempts are made one at a time, as probes, until a leaf has answered; no groups are sent
//	Quarantined  no attempts are made, and attempts in flight are cancelled

// reasonQuarantined is the reason of a shard whose leafs are not queried because the request was quarantined meanwhile.
const reasonQuarantined scatter.Reason = "QUARANTINED"

// errQuarantined is the cause of cancelling an execution whose request was quarantined meanwhile. Its attempts are
// cancelled at once, before more leafs run them.
var errQuarantined = errors.New("the request crashes the leafs that run it")

// The first attempt of a gathered request has a head start during an alert. An alert lasts for some time after any
// request was quarantined, since crashing requests are rarely isolated.
const (
	// headStartFactor is the head start as a multiple of the typical latency.
	headStartFactor = 3
	// minimumHeadStart is the shortest head start, since a leaf takes some time to crash.
	minimumHeadStart = 20 * time.Millisecond
)

// track registers the execution as in flight and with the quarantine register, so that it is cancelled if its request
// is quarantined or its deadline passes during a suspension. release must be called at its end.
func (e *execution) track(ctx context.Context) (runCtx context.Context, release func()) {
	runCtx, cancel := context.WithCancelCause(ctx)
	e.cancel = cancel
	e.gateway.inFlight.add(e)
	if e.gateway.quarantine != nil {
		subject := quarantine.NewSubject(e.request.fingerprint, e.request.Path, e.request.Caller)
		e.tracked = e.gateway.quarantine.Begin(subject, e.stop)
	}
	return runCtx, func() {
		if e.tracked != nil {
			e.tracked.End()
		}
		e.gateway.inFlight.remove(e)
		cancel(nil)
	}
}

// stop cancels an execution whose request was quarantined.
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

// quarantineFailure returns the failure of a quarantined request. It has a Retry-After, the remaining term of the
// quarantine, only if no leaf received the request.
func (e *execution) quarantineFailure(execution failure.ExecutionState) error {
	failed := failure.New(failure.Quarantined, execution, "leafs crashed while they ran this request; it is sent to no more leafs (%s)", e.request.fingerprint)
	if execution != failure.NotRun {
		return failed
	}
	return failed.WithRetryAfter(e.gateway.quarantine.RetryAfter(e.request.fingerprint))
}

// limitCrashes limits the leafs that a request may crash. The attempts of a suspect request are probes, sent one at a
// time, and stop after CrashedProbesLimit probes crashed their leafs. During an alert, the first attempt of a gathered
// request has a head start. A group for another node stops without probes: probing in each group would crash more leafs
// than probing by the root alone.
func (e *execution) limitCrashes(plan *scatter.Plan) {
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

// keepOneShard removes a shard from the groups if they contain all shards, so that this node can make the first
// attempt.
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

// probeNumber numbers probes from 1; it returns 0 for other attempts.
func (e *execution) probeNumber(attempt scatter.Attempt) int {
	if !attempt.Probe {
		return 0
	}
	e.probes++
	return e.probes
}

// quarantinedResult is the result of an attempt that is not made because the request was quarantined.
func quarantinedResult() attemptResult {
	return attemptResult{
		Reason: reasonQuarantined, Execution: scatter.NotRun, Outcome: balancer.Cancelled, Final: true, NeverArrived: true,
	}
}

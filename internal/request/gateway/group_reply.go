package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// errUnresponsive is the cause of closing the connection to an intermediate that sends nothing.
var errUnresponsive = errors.New("the intermediate did not respond")

const (
	// The wait for an intermediate's first acknowledgement is a quarter of the objective, three round trips to it, or
	// minimumAckWait, whichever is longest.
	ackObjectiveDivisor = 4
	ackRoundTripFactor  = 3
	minimumAckWait      = 10 * time.Millisecond
	// maximumProbes is how many probes an intermediate may leave unanswered. It is not zero, since on a busy root the
	// timer may fire before it has read an acknowledgement that has arrived.
	maximumProbes = 1
	// probeWaitDivisor sets the wait for the answer to a probe: half of the wait before the probe.
	probeWaitDivisor = 2
	// minimumSilence is how long nothing must have been received from an intermediate before its connection is closed,
	// which also ends all other groups in flight there.
	minimumSilence = 300 * time.Millisecond
)

// groupEnd is the end of a group call.
type groupEnd struct {
	result  groupResult
	outcome GroupOutcome
	// reason is why the call failed.
	reason string
}

// groupNotRun returns the end of a group for which no leaf was queried.
func groupNotRun(outcome GroupOutcome, reason string) groupEnd {
	return groupEnd{result: groupResult{Execution: scatter.NotRun}, outcome: outcome, reason: reason}
}

// ackWait returns how long an intermediate may take to acknowledge the group.
func (p *groupCall) ackWait() time.Duration {
	objective := p.execution.request.route.Objective
	return max(minimumAckWait, objective/ackObjectiveDivisor, ackRoundTripFactor*p.root.roundTrip.expected(objective))
}

// await waits for the reply of an intermediate, and abandons the call if the intermediate is silent. An intermediate
// must acknowledge the group within ackWait. After the objective it is probed once per further objective and must
// acknowledge each probe. If more than maximumProbes stay unanswered, it is silent.
func (p *groupCall) await(ctx context.Context, call *servingtree.Call, done groupDone) groupEnd {
	began := time.Now()
	wait := p.ackWait()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	acks, unanswered := 0, 0
	for {
		select {
		case ended := <-call.Done():
			p.deliverPending(call, done)
			return p.classify(ended, time.Since(began)-call.Waited())
		case answer := <-call.Partial():
			p.deliverPartial(answer, done)
		case <-call.Acks():
			acks++
			unanswered = 0
			p.root.zones.Responded(p.group.node.Zone)
			// The answer is late by the next probe anyway, so a longer wait costs nothing.
			wait = p.execution.request.route.Objective
			timer.Reset(max(wait, time.Until(p.execution.request.objective)))
		case <-timer.C:
			if unanswered >= maximumProbes {
				return p.abandon(call, acks > 0)
			}
			unanswered++
			p.root.zones.Suspect(p.group.node.Zone)
			call.Probe()
			timer.Reset(wait / probeWaitDivisor)
		case <-ctx.Done():
			call.Cancel()
			return groupEnd{outcome: GroupCancelled}
		}
	}
}

// deliverPending delivers parts that arrived just before the end.
func (p *groupCall) deliverPending(call *servingtree.Call, done groupDone) {
	select {
	case answer := <-call.Partial():
		p.deliverPartial(answer, done)
	default:
	}
}

// deliverPartial delivers the parts that an intermediate sends before its reply is complete.
func (p *groupCall) deliverPartial(answer servingtree.Answer, done groupDone) {
	if len(answer.Stamps) == len(p.group.shards) {
		p.gotPartial = true
		done(groupResult{Replies: p.replies(&answer), Partial: true})
	}
}

// abandon cancels a call to an intermediate that is silent. If the intermediate has acknowledged the group, it may have
// spent all attempts that the route allows, so the shards are not queried again.
func (p *groupCall) abandon(call *servingtree.Call, hasAcknowledged bool) groupEnd {
	isSent := call.Cancel()
	p.root.intermediates.DropSilent(p.group.node.Tree, minimumSilence, errUnresponsive)
	if !isSent {
		return groupNotRun(GroupNeverSent, errUnresponsive.Error())
	}
	result := groupResult{Final: hasAcknowledged}
	return groupEnd{result: result, outcome: GroupSilent, reason: errUnresponsive.Error()}
}

// classify decides what the end of a call means for the group.
func (p *groupCall) classify(ended servingtree.Result, took time.Duration) groupEnd {
	var neverSent *servingtree.NeverSentError
	switch {
	case errors.As(ended.Err, &neverSent):
		return groupNotRun(GroupNeverSent, ended.Err.Error())
	case ended.Err != nil:
		return groupEnd{outcome: GroupBroken, reason: ended.Err.Error()}
	}
	p.root.roundTrip.observe(took - time.Duration(ended.Reply.TookMicros)*time.Microsecond)
	return p.classifyReply(ended.Reply)
}

// classifyReply decides what a reply means for the group. An answer is used. A failure is final, unless leafs crashed:
// then this node probes the shards. After a decline, the group may be sent to another node, or this node may query the
// leafs.
func (p *groupCall) classifyReply(reply servingtree.Reply) groupEnd {
	switch {
	case reply.Answer != nil && len(reply.Answer.Stamps) == len(p.group.shards):
		return groupEnd{result: groupResult{Replies: p.replies(reply.Answer)}, outcome: GroupAnswered}
	case reply.Answer != nil:
		return groupEnd{outcome: GroupBroken, reason: "the answer has the wrong number of parts"}
	case reply.Failure != nil:
		return p.classifyFailure(reply.Failure)
	case reply.Decline == servingtree.Stopping:
		return groupNotRun(GroupLeaving, string(reply.Decline))
	default:
		return groupNotRun(GroupDeclined, string(reply.Decline))
	}
}

// classifyFailure decides what the failure of an intermediate means for the group.
func (p *groupCall) classifyFailure(failed *servingtree.Failure) groupEnd {
	result := groupResult{Execution: executionOf(failed.Execution)}
	switch failed.Code {
	case failure.Quarantined:
		p.execution.stop()
		result.Final = true
	case failure.LeafsEnded:
		p.execution.reportCrashed(failed.CrashedLeafs)
		result.ConnectionLost = true
	default:
		p.execution.keepGroupFailure(p.group, failed)
		result.Final = true
	}
	return groupEnd{result: result, outcome: GroupFailed, reason: failed.Message}
}

// keepGroupFailure stores the failure of a group that has all shards of the request.
func (e *execution) keepGroupFailure(g group, failed *servingtree.Failure) {
	if len(g.shards) < len(e.services) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.groupFailure = failed.Err()
}

// replies returns the parts of an answer, by shard of the group. Their records are merged already, so the first part
// that is present holds them all.
func (p *groupCall) replies(answer *servingtree.Answer) []*leafhttp.Response {
	replies := make([]*leafhttp.Response, len(answer.Stamps))
	records := answer.Records
	if p.execution.tracked != nil && slices.ContainsFunc(answer.Stamps, func(stamp string) bool { return stamp != "" }) {
		p.execution.tracked.Answered()
	}
	for index, stamp := range answer.Stamps {
		if stamp == "" {
			continue
		}
		header := http.Header{}
		header.Set(p.execution.gateway.names.ResponseStamp, stamp)
		replies[index] = &leafhttp.Response{Status: http.StatusOK, Header: header, Body: records}
		records = nil
	}
	return replies
}

func executionOf(state failure.ExecutionState) scatter.Execution {
	switch state {
	case failure.NotRun:
		return scatter.NotRun
	case failure.Ran:
		return scatter.Ran
	default:
		return scatter.Unknown
	}
}

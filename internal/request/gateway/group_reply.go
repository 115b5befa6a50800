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

// errSilent is the cause of ending the connection to an intermediate that sends nothing.
var errSilent = errors.New("the intermediate is silent")

const (
	// The wait for the first acknowledgement of an intermediate is the largest of a quarter of the objective, three
	// round trips to it, and minimumAckWait.
	ackObjectiveDivisor = 4
	ackHopFactor        = 3
	minimumAckWait      = 10 * time.Millisecond
	// maximumProbes is how many probes an intermediate may leave unanswered. One is needed: on a busy root the timer
	// may fire before an acknowledgement that has arrived is read.
	maximumProbes = 1
	// probeWaitDivisor shortens the wait for the answer to a probe: half of the wait before it.
	probeWaitDivisor = 2
	// minimumSilence is how long nothing must have been received from an intermediate for its connection to be closed,
	// and with it all other groups in flight there.
	minimumSilence = 300 * time.Millisecond
)

// groupEnd is how a group ended.
type groupEnd struct {
	result  groupResult
	outcome GroupOutcome
	// reason says what went wrong.
	reason string
}

// groupNotRun returns the end of a group of which no leaf was asked.
func groupNotRun(outcome GroupOutcome, reason string) groupEnd {
	return groupEnd{result: groupResult{Execution: scatter.NotRun}, outcome: outcome, reason: reason}
}

// ackWait returns how long an intermediate may take to acknowledge the group.
func (p *groupCall) ackWait() time.Duration {
	objective := p.execution.request.route.Objective
	return max(minimumAckWait, objective/ackObjectiveDivisor, ackHopFactor*p.root.hop.expected(objective))
}

// await waits for the reply of an intermediate, and gives up on one that is silent. An intermediate must acknowledge
// the group within ackWait; after the objective it is probed once in each further objective, and must acknowledge each
// probe. One that leaves more than maximumProbes unanswered is silent.
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
			// By the next probe the answer is late, so that there is no hurry to give up.
			wait = p.execution.request.route.Objective
			timer.Reset(max(wait, time.Until(p.execution.request.objective)))
		case <-timer.C:
			if unanswered >= maximumProbes {
				return p.giveUp(call, acks > 0)
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

// giveUp ends a call to an intermediate that is silent. One that had begun may have spent all attempts that the route
// allows, so that the shards are not asked again.
func (p *groupCall) giveUp(call *servingtree.Call, hasBegun bool) groupEnd {
	isSent := call.Cancel()
	p.root.intermediates.DropSilent(p.group.node.Tree, minimumSilence, errSilent)
	if !isSent {
		return groupNotRun(GroupNeverSent, errSilent.Error())
	}
	result := groupResult{Final: hasBegun}
	return groupEnd{result: result, outcome: GroupSilent, reason: errSilent.Error()}
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
	p.root.hop.observe(took - time.Duration(ended.Reply.TookMicros)*time.Microsecond)
	return p.classifyReply(ended.Reply)
}

// classifyReply decides what a reply means for the group: an answer is used; a failure is final, unless leafs crashed, in
// which case the shards are probed from here; after a decline another node, or the leafs from here, can be asked.
func (p *groupCall) classifyReply(reply servingtree.Reply) groupEnd {
	switch {
	case reply.Answer != nil && len(reply.Answer.Stamps) == len(p.group.shards):
		return groupEnd{result: groupResult{Replies: p.replies(reply.Answer)}, outcome: GroupAnswered}
	case reply.Answer != nil:
		return groupEnd{outcome: GroupBroken, reason: "the answer has parts of other services"}
	case reply.Failure != nil:
		return p.classifyFailure(reply.Failure)
	case reply.Decline == servingtree.Leaving:
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
		result.BrokeOff = true
	default:
		p.execution.keepGroupFailure(p.group, failed)
		result.Final = true
	}
	return groupEnd{result: result, outcome: GroupFailed, reason: failed.Message}
}

// keepGroupFailure keeps the failure of a group that has all shards of the request.
func (e *execution) keepGroupFailure(g group, failed *servingtree.Failure) {
	if len(g.shards) < len(e.services) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.groupFailure = failed.Err()
}

// replies returns the parts of an answer, by shard of the group. Their records are merged already: the first part that
// is there has them all.
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

// executionOf converts the execution state of a failure for package scatter.
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

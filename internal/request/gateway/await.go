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

// Bounds of how long an intermediate may be silent, in parts of the objective and in times of the
// usual ways to it.
const (
	ackObjectiveDivisor = 4
	ackHopFactor        = 3
	minimumAckWait      = 10 * time.Millisecond
	// maximumProbes is how many probes may go unanswered.
	maximumProbes = 1
)

// ackWait is how long an intermediate may take to show that it is at work.
func (p *groupCall) ackWait() time.Duration {
	objective := p.execution.request.route.Objective
	return max(minimumAckWait, objective/ackObjectiveDivisor, ackHopFactor*p.root.hop.expected(objective))
}

// await waits for the reply as long as the intermediate gives signs of work: at once, and whenever it
// is asked for one after the objective.
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
			return p.judge(ended, time.Since(began)-call.Waited())
		case answer := <-call.Partial():
			p.deliverPartial(answer, done)
		case <-call.Acks():
			acks++
			unanswered = 0
			p.root.zones.Heard(p.group.node.Zone)
			// The answer is late when the next sign is due: there is nothing to be won by haste.
			wait = p.execution.request.route.Objective
			timer.Reset(max(wait, time.Until(p.execution.request.objective)))
		case <-timer.C:
			// A node that is late itself may find its timer over before it has read the sign.
			if unanswered >= maximumProbes {
				return p.giveUp(call, acks > 0)
			}
			unanswered++
			p.root.zones.Suspect(p.group.node.Zone)
			call.Probe()
			timer.Reset(wait / 2)
		case <-ctx.Done():
			call.Cancel()
			return groupEnd{outcome: GroupCancelled}
		}
	}
}

// minimumSilence is how long nothing must have come from an intermediate for its connection to be given
// up, and with it all that is under way there.
const minimumSilence = 300 * time.Millisecond

// deliverPending tells of parts that came just before the end.
func (p *groupCall) deliverPending(call *servingtree.Call, done groupDone) {
	select {
	case answer := <-call.Partial():
		p.deliverPartial(answer, done)
	default:
	}
}

// deliverPartial tells of the parts that are in before the end.
func (p *groupCall) deliverPartial(answer servingtree.Answer, done groupDone) {
	if len(answer.Stamps) == len(p.group.shards) {
		p.gotPartial = true
		done(scatter.GroupResult[leafhttp.Response]{Replies: p.replies(&answer), More: true})
	}
}

// giveUp ends a call to an intermediate that is silent.
func (p *groupCall) giveUp(call *servingtree.Call, hasBegun bool) groupEnd {
	isSent := call.Cancel()
	p.root.intermediates.DropSilent(p.group.node.Tree, minimumSilence, errSilent)
	if !isSent {
		return notRun(GroupNeverSent, errSilent.Error())
	}
	// Once it has begun, it may have spent all attempts that the route allows.
	result := scatter.GroupResult[leafhttp.Response]{Final: hasBegun}
	return groupEnd{result: result, outcome: GroupSilent, reason: errSilent.Error()}
}

// notRun is the end of a group of which no leaf was asked.
func notRun(outcome GroupOutcome, reason string) groupEnd {
	return groupEnd{result: scatter.GroupResult[leafhttp.Response]{Execution: scatter.NotRun}, outcome: outcome, reason: reason}
}

// judge says what a result is worth.
func (p *groupCall) judge(ended servingtree.Result, took time.Duration) groupEnd {
	var neverSent *servingtree.NeverSentError
	switch {
	case errors.As(ended.Err, &neverSent):
		return notRun(GroupNeverSent, ended.Err.Error())
	case ended.Err != nil:
		return groupEnd{outcome: GroupBroken, reason: ended.Err.Error()}
	}
	p.root.hop.observe(took - time.Duration(ended.Reply.TookMicros)*time.Microsecond)
	return p.judgeReply(ended.Reply)
}

func (p *groupCall) judgeReply(reply servingtree.Reply) groupEnd {
	switch {
	case reply.Answer != nil && len(reply.Answer.Stamps) == len(p.group.shards):
		return groupEnd{result: scatter.GroupResult[leafhttp.Response]{Replies: p.replies(reply.Answer)}, outcome: GroupAnswered}
	case reply.Answer != nil:
		return groupEnd{outcome: GroupBroken, reason: "the answer has parts of other services"}
	case reply.Failure != nil && reply.Failure.Code == failure.Quarantined:
		p.execution.stop()
		return groupEnd{outcome: GroupFailed, reason: reply.Failure.Message, result: scatter.GroupResult[leafhttp.Response]{
			Final: true, Execution: executionOf(reply.Failure.Execution),
		}}
	case reply.Failure != nil && reply.Failure.Code == failure.LeafsEnded:
		// Its shards are asked from here, one leaf after the other.
		p.execution.reportCrashed(reply.Failure.CrashedLeafs)
		return groupEnd{outcome: GroupFailed, reason: reply.Failure.Message, result: scatter.GroupResult[leafhttp.Response]{
			Broke: true, Execution: executionOf(reply.Failure.Execution),
		}}
	case reply.Failure != nil:
		p.execution.keepGroupFailure(p.group, reply.Failure)
		result := scatter.GroupResult[leafhttp.Response]{Final: true, Execution: executionOf(reply.Failure.Execution)}
		return groupEnd{result: result, outcome: GroupFailed, reason: reply.Failure.Message}
	case reply.Decline == servingtree.Leaving:
		return notRun(GroupLeaving, string(reply.Decline))
	default:
		return notRun(GroupDeclined, string(reply.Decline))
	}
}

// keepGroupFailure keeps the failure of a group that is all of the request.
func (e *execution) keepGroupFailure(part group, failed *servingtree.Failure) {
	if len(part.shards) < len(e.services) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.groupFailure = failed.Err()
}

// replies gives the parts of an answer. Their records are merged already; the first part that is in
// carries them all.
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
		header.Set(p.execution.gateway.dialect.ResponseStamp, stamp)
		replies[index] = &leafhttp.Response{Status: http.StatusOK, Header: header, Body: records}
		records = nil
	}
	return replies
}

// executionOf gives what an execution state says of attempts.
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

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
	signParts = 4
	signHops  = 3
	leastSign = 10 * time.Millisecond
	// mostProbes is how many probes may go unanswered.
	mostProbes = 1
)

// signWait is how long an intermediate may take to show that it is at work.
func (p *passing) signWait() time.Duration {
	objective := p.work.query.entry.Objective
	return max(leastSign, objective/signParts, signHops*p.root.hop.expected(objective))
}

// await waits for the reply as long as the intermediate gives signs of work: at once, and whenever it
// is asked for one after the objective.
func (p *passing) await(ctx context.Context, call *servingtree.Call, tell told) groupEnd {
	began := time.Now()
	wait := p.signWait()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	signs, unanswered := 0, 0
	for {
		select {
		case ended := <-call.Done():
			p.tellWaiting(call, tell)
			return p.judge(ended, time.Since(began)-call.Waited())
		case answer := <-call.Partial():
			p.tellParts(answer, tell)
		case <-call.Acks():
			signs++
			unanswered = 0
			p.root.zones.Heard(p.group.node.Zone)
			// The answer is late when the next sign is due: there is nothing to be won by haste.
			wait = p.work.query.entry.Objective
			timer.Reset(max(wait, time.Until(p.work.query.objective)))
		case <-timer.C:
			// A node that is late itself may find its timer over before it has read the sign.
			if unanswered >= mostProbes {
				return p.giveUp(call, signs > 0)
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

// leastSilence is how long nothing must have come from an intermediate for its connection to be given
// up, and with it all that is under way there.
const leastSilence = 300 * time.Millisecond

// tellWaiting tells of parts that came just before the end.
func (p *passing) tellWaiting(call *servingtree.Call, tell told) {
	select {
	case answer := <-call.Partial():
		p.tellParts(answer, tell)
	default:
	}
}

// tellParts tells of the parts that are in before the end.
func (p *passing) tellParts(answer servingtree.Answer, tell told) {
	if len(answer.Stamps) == len(p.group.shards) {
		p.toldParts = true
		tell(scatter.GroupResult[leafhttp.Response]{Replies: p.replies(&answer), More: true})
	}
}

// giveUp ends a call to an intermediate that is silent.
func (p *passing) giveUp(call *servingtree.Call, hasBegun bool) groupEnd {
	isSent := call.Cancel()
	p.root.intermediates.DropSilent(p.group.node.Tree, leastSilence, errSilent)
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
func (p *passing) judge(ended servingtree.Result, took time.Duration) groupEnd {
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

func (p *passing) judgeReply(reply servingtree.Reply) groupEnd {
	switch {
	case reply.Answer != nil && len(reply.Answer.Stamps) == len(p.group.shards):
		return groupEnd{result: scatter.GroupResult[leafhttp.Response]{Replies: p.replies(reply.Answer)}, outcome: GroupAnswered}
	case reply.Answer != nil:
		return groupEnd{outcome: GroupBroken, reason: "the answer has parts of other services"}
	case reply.Failure != nil && reply.Failure.Code == failure.Quarantined:
		p.work.stop()
		return groupEnd{outcome: GroupFailed, reason: reply.Failure.Message, result: scatter.GroupResult[leafhttp.Response]{
			Final: true, Execution: executionOf(reply.Failure.Execution),
		}}
	case reply.Failure != nil && reply.Failure.Code == failure.LeafsEnded:
		// Its shards are asked from here, one leaf after the other.
		p.work.learnEnded(reply.Failure.CrashedLeafs)
		return groupEnd{outcome: GroupFailed, reason: reply.Failure.Message, result: scatter.GroupResult[leafhttp.Response]{
			Broke: true, Execution: executionOf(reply.Failure.Execution),
		}}
	case reply.Failure != nil:
		p.work.keepRefusal(p.group, reply.Failure)
		result := scatter.GroupResult[leafhttp.Response]{Final: true, Execution: executionOf(reply.Failure.Execution)}
		return groupEnd{result: result, outcome: GroupFailed, reason: reply.Failure.Message}
	case reply.Decline == servingtree.Leaving:
		return notRun(GroupLeaving, string(reply.Decline))
	default:
		return notRun(GroupDeclined, string(reply.Decline))
	}
}

// keepRefusal keeps the failure of a group that is all of the request.
func (w *gathering) keepRefusal(part group, failed *servingtree.Failure) {
	if len(part.shards) < len(w.services) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusal = failed.Err()
}

// replies gives the parts of an answer. Their records are merged already; the first part that is in
// carries them all.
func (p *passing) replies(answer *servingtree.Answer) []*leafhttp.Response {
	replies := make([]*leafhttp.Response, len(answer.Stamps))
	records := answer.Records
	if p.work.try != nil && slices.ContainsFunc(answer.Stamps, func(stamp string) bool { return stamp != "" }) {
		p.work.try.Answered()
	}
	for index, stamp := range answer.Stamps {
		if stamp == "" {
			continue
		}
		header := http.Header{}
		header.Set(p.work.gateway.dialect.ResponseStamp, stamp)
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

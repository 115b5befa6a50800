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
	// The wait for the first acknowledgement of an intermediate is the longest of objective/ackObjectiveDivisor,
	// ackRoundTripFactor round trips and minimumAckWait.
	ackObjectiveDivisor = 4
	ackRoundTripFactor  = 3
	minimumAckWait      = 10 * time.Millisecond
	// maximumProbes is how many probes are sent, one after the other, before an intermediate that answers none counts
	// as silent. It is not zero, since on a busy root the timer may fire before an acknowledgement that has arrived is
	// read.
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
func (c *groupCall) ackWait() time.Duration {
	objective := c.execution.request.route.Objective
	return max(minimumAckWait, objective/ackObjectiveDivisor, ackRoundTripFactor*c.root.roundTrip.expected(objective))
}

// await waits for the reply of an intermediate and cancels the call if the intermediate is silent. If no
// acknowledgement arrives within ackWait, or within one objective after the previous one (but not before the objective
// has passed), the intermediate is probed. It is silent if maximumProbes probes in a row stay unanswered.
func (c *groupCall) await(ctx context.Context, call *servingtree.Call, report reportGroup) groupEnd {
	began := time.Now()
	wait := c.ackWait()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	acks, unanswered := 0, 0
	for {
		select {
		case ended := <-call.Done():
			c.deliverPending(call, report)
			return c.classify(ended, time.Since(began)-call.Waited())
		case answer := <-call.Partial():
			c.deliverPartial(answer, report)
		case <-call.Acks():
			acks++
			unanswered = 0
			c.root.zones.Responded(c.group.node.Zone)
			// After an acknowledgement, probes start only after the objective, when the answer is late anyway, so a
			// longer wait costs nothing.
			wait = c.execution.request.route.Objective
			timer.Reset(max(wait, time.Until(c.execution.request.objective)))
		case <-timer.C:
			if unanswered >= maximumProbes {
				return c.cancelSilent(call, acks > 0)
			}
			unanswered++
			c.root.zones.Suspect(c.group.node.Zone)
			call.Probe()
			timer.Reset(wait / probeWaitDivisor)
		case <-ctx.Done():
			call.Cancel()
			return groupEnd{outcome: GroupCancelled}
		}
	}
}

// deliverPending delivers parts that arrived just before the end.
func (c *groupCall) deliverPending(call *servingtree.Call, report reportGroup) {
	select {
	case answer := <-call.Partial():
		c.deliverPartial(answer, report)
	default:
	}
}

// deliverPartial delivers the parts that an intermediate sends before its reply is complete.
func (c *groupCall) deliverPartial(answer servingtree.Answer, report reportGroup) {
	if len(answer.Stamps) == len(c.group.shards) {
		c.gotPartial = true
		report(groupResult{Replies: c.replies(&answer), Partial: true})
	}
}

// cancelSilent cancels a call to an intermediate that is silent. If the intermediate has acknowledged the group, it may
// have made all attempts that the route allows, so the shards are not queried again.
func (c *groupCall) cancelSilent(call *servingtree.Call, hasAcknowledged bool) groupEnd {
	isSent := call.Cancel()
	c.root.intermediates.DropSilent(c.group.node.Tree, minimumSilence, errUnresponsive)
	if !isSent {
		return groupNotRun(GroupNeverSent, errUnresponsive.Error())
	}
	result := groupResult{Final: hasAcknowledged}
	return groupEnd{result: result, outcome: GroupSilent, reason: errUnresponsive.Error()}
}

// classify decides what the end of a call means for the group.
func (c *groupCall) classify(ended servingtree.Result, took time.Duration) groupEnd {
	var neverSent *servingtree.NeverSentError
	switch {
	case errors.As(ended.Err, &neverSent):
		return groupNotRun(GroupNeverSent, ended.Err.Error())
	case ended.Err != nil:
		return groupEnd{outcome: GroupBroken, reason: ended.Err.Error()}
	}
	c.root.roundTrip.observe(took - time.Duration(ended.Reply.TookMicros)*time.Microsecond)
	return c.classifyReply(ended.Reply)
}

// classifyReply decides what a reply means for the group. An answer is used. A failure is final, unless leafs crashed:
// then this node probes the shards. After a decline, the group may be sent to another node, or this node may query the
// leafs.
func (c *groupCall) classifyReply(reply servingtree.Reply) groupEnd {
	switch {
	case reply.Answer != nil && len(reply.Answer.Stamps) == len(c.group.shards):
		return groupEnd{result: groupResult{Replies: c.replies(reply.Answer)}, outcome: GroupAnswered}
	case reply.Answer != nil:
		return groupEnd{outcome: GroupBroken, reason: "the answer has the wrong number of parts"}
	case reply.Failure != nil:
		return c.classifyFailure(reply.Failure)
	case reply.Decline == servingtree.Stopping:
		return groupNotRun(GroupStopping, string(reply.Decline))
	default:
		return groupNotRun(GroupDeclined, string(reply.Decline))
	}
}

// classifyFailure decides what the failure of an intermediate means for the group.
func (c *groupCall) classifyFailure(failed *servingtree.Failure) groupEnd {
	result := groupResult{Execution: executionOf(failed.Execution)}
	switch failed.Code {
	case failure.Quarantined:
		c.execution.stop()
		result.Final = true
	case failure.LeafsCrashed:
		c.execution.reportCrashed(failed.CrashedLeafs)
		result.ConnectionLost = true
	default:
		c.execution.keepGroupFailure(c.group, failed)
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
func (c *groupCall) replies(answer *servingtree.Answer) []*leafhttp.Response {
	replies := make([]*leafhttp.Response, len(answer.Stamps))
	records := answer.Records
	if c.execution.tracked != nil && slices.ContainsFunc(answer.Stamps, func(stamp string) bool { return stamp != "" }) {
		c.execution.tracked.Answered()
	}
	for index, stamp := range answer.Stamps {
		if stamp == "" {
			continue
		}
		header := http.Header{}
		header.Set(c.execution.gateway.names.ResponseStamp, stamp)
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

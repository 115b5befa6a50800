package gateway

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// GroupOutcome is the result of asking another node for a group.
type GroupOutcome string

// The outcomes of a group. After Failed, Cancelled, Silent and Broken its leafs may have been asked.
const (
	GroupAnswered  GroupOutcome = "answered"
	GroupFailed    GroupOutcome = "failed"
	GroupDeclined  GroupOutcome = "declined"
	GroupLeaving   GroupOutcome = "leaving"
	GroupNeverSent GroupOutcome = "never_sent"
	GroupCancelled GroupOutcome = "cancelled"
	GroupSilent    GroupOutcome = "silent"
	GroupBroken    GroupOutcome = "broken"
)

// GroupRecord is a group that another node was asked to gather, with its outcome.
type GroupRecord struct {
	RequestID string
	// Intermediate is the id of the node that was asked.
	Intermediate string
	Parts        int
	Outcome      GroupOutcome
	// Reason says why the node declined or failed, or what ended the connection.
	Reason string
	Took   time.Duration
}

// groupResult is what came of a group, as package scatter receives it.
type groupResult = scatter.GroupResult[leafhttp.Response]

// groupDone receives the results of a group; see scatter.StartGroup.
type groupDone func(groupResult)

// groupCall is a group that other nodes are being asked to gather, one after the other.
type groupCall struct {
	root      *root
	execution *execution
	group     group
	// spent is how many attempts at each shard may have been made by nodes that returned nothing.
	spent int
	// gotPartial says that some parts have arrived: their records are merged, so that no other node may return them
	// again.
	gotPartial bool
}

// startGroup asks another node for a group; it implements scatter.StartGroup.
func (e *execution) startGroup(ctx context.Context, number int, done func(groupResult)) context.CancelCauseFunc {
	p := &groupCall{root: e.gateway.root, execution: e, group: e.groups[number]}
	ctx, cancel := context.WithCancelCause(ctx)
	call := p.start()
	go func() {
		defer cancel(nil)
		done(p.run(ctx, call, done))
	}()
	return cancel
}

// maximumIntermediates is how many nodes are asked for one group. After two that returned nothing, most of an objective
// is over.
const maximumIntermediates = 2

// start sends the group to its node.
func (p *groupCall) start() *servingtree.Call {
	p.root.nodes.begin(p.group.node)
	return p.root.intermediates.Start(p.group.node.Tree, p.execution.groupRequest(p.group, p.spent))
}

// run waits for the group. If its node returned nothing, and may not have spent all attempts, another node is asked;
// otherwise package scatter asks the leafs from here, as far as the result allows.
func (p *groupCall) run(ctx context.Context, call *servingtree.Call, done groupDone) groupResult {
	for queried := 1; ; queried++ {
		began := time.Now()
		ended := p.await(ctx, call, done)
		p.recordEnd(ended, time.Since(began))
		result := p.withSpent(ended.result)
		if queried == maximumIntermediates || result.Replies != nil || result.Final || result.BrokeOff || p.gotPartial || ended.outcome == GroupCancelled {
			return result
		}
		node, found := p.root.choose(p.group.zones)
		if !found {
			return result
		}
		p.group.node = node
		call = p.start()
	}
}

// withSpent adds to a result the attempts that nodes which returned nothing may have made. They count among the route's
// MaximumAttempts, and the request may have run even if the last node ran nothing.
func (p *groupCall) withSpent(result groupResult) groupResult {
	if result.Replies != nil {
		return result
	}
	if result.Execution != scatter.NotRun {
		p.spent++
	}
	if p.spent > 0 && result.Execution == scatter.NotRun {
		result.Execution = scatter.Unknown
	}
	result.Spent = p.spent
	result.Final = result.Final || p.spent >= p.execution.request.route.Attempts
	return result
}

// recordEnd reports the end of a group, and what it shows of the node and its zone.
func (p *groupCall) recordEnd(ended groupEnd, took time.Duration) {
	e, node := p.execution, p.group.node
	record := GroupRecord{
		RequestID: e.request.Leaf.ID, Intermediate: node.ID, Parts: len(p.group.shards),
		Outcome: ended.outcome, Reason: ended.reason, Took: took,
	}
	p.root.nodes.end(node, record.Outcome)
	p.observeZone(record.Outcome)
	e.gateway.events.GroupEnded(record)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.groupsEnded = append(e.groupsEnded, record)
}

// groupRecords returns the records of the groups that have ended.
func (e *execution) groupRecords() []GroupRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.groupsEnded
}

// groupRequest returns the message that asks another node for a group. The group may lack as many parts as the whole
// answer may. The node must reply earlier than the answer is planned by the round trip to it.
func (e *execution) groupRequest(g group, spent int) servingtree.Request {
	r, root := e.request, e.gateway.root
	mayMiss := len(e.services) - r.requiredParts
	roundTrip := root.hop.expected(r.route.Objective)
	untilAnswer := time.Until(r.answerBy) - roundTrip
	return servingtree.Request{
		ID: r.Leaf.ID, Method: r.Leaf.Method, Target: r.Leaf.Target, Host: r.Leaf.Host, Header: r.Leaf.Header,
		Body: r.Leaf.Body, HasBody: r.Leaf.HasBody, Caller: r.Caller, Root: root.self.ID, GatherKey: r.route.GatherKey,
		Shards: g.shards, Required: max(1, len(g.shards)-mayMiss), Spent: spent,
		ObjectiveMicros: untilAnswer.Microseconds(), DeadlineMicros: time.Until(e.deadline()).Microseconds(),
		RoundTrip: roundTrip,
	}
}

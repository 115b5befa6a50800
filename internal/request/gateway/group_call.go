package gateway

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// GroupOutcome is the result of a group call to another node.
type GroupOutcome string

// The outcomes of a group call. After GroupFailed, GroupCancelled, GroupSilent and GroupBroken, its leafs may have been
// queried.
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

// GroupRecord is a group call to another node, with its outcome.
type GroupRecord struct {
	RequestID string
	// Intermediate is the ID of the other node.
	Intermediate string
	Shards       int
	Outcome      GroupOutcome
	// Reason is why the node declined or failed, or why the connection ended.
	Reason string
	Took   time.Duration
}

// groupResult is the result of a group, as package scatter receives it.
type groupResult = scatter.GroupResult[leafhttp.Response]

// groupDone receives the results of a group; see scatter.StartGroup.
type groupDone func(groupResult)

// groupCall is a group that is sent to other nodes, one after the other.
type groupCall struct {
	root      *root
	execution *execution
	group     group
	// spent is how many attempts per shard may have been made by nodes that returned nothing.
	spent int
	// gotPartial reports whether some parts have arrived. Their records are merged, so no other node may return them
	// again.
	gotPartial bool
}

// startGroup sends a group to another node; it implements scatter.StartGroup.
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

// maximumIntermediates is how many nodes one group is sent to. After two nodes that returned nothing, most of an
// objective has passed.
const maximumIntermediates = 2

func (p *groupCall) start() *servingtree.Call {
	p.root.nodes.begin(p.group.node)
	return p.root.intermediates.Start(p.group.node.Tree, p.execution.groupRequest(p.group, p.spent))
}

// run waits for the group. If its node returned nothing, and may not have spent all attempts, the group is sent to
// another node. Otherwise package scatter queries the leafs from this node, as far as the result allows.
func (p *groupCall) run(ctx context.Context, call *servingtree.Call, done groupDone) groupResult {
	for queried := 1; ; queried++ {
		began := time.Now()
		ended := p.await(ctx, call, done)
		p.recordEnd(ended, time.Since(began))
		result := p.withSpent(ended.result)
		if queried == maximumIntermediates || result.Replies != nil || result.Final || result.ConnectionLost || p.gotPartial || ended.outcome == GroupCancelled {
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

// withSpent adds to a result the attempts that nodes which returned nothing may have made. They count towards the
// route's MaximumAttempts, and the request may have run even if the last node ran nothing.
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

// recordEnd reports the end of a group, and what it shows about the node and its zone.
func (p *groupCall) recordEnd(ended groupEnd, took time.Duration) {
	e, node := p.execution, p.group.node
	record := GroupRecord{
		RequestID: e.request.Leaf.ID, Intermediate: node.ID, Shards: len(p.group.shards),
		Outcome: ended.outcome, Reason: ended.reason, Took: took,
	}
	p.root.nodes.end(node, record.Outcome)
	p.observeZone(record.Outcome)
	e.gateway.events.GroupEnded(record)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endedGroups = append(e.endedGroups, record)
}

// groupRecords returns the records of the groups that have ended.
func (e *execution) groupRecords() []GroupRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endedGroups
}

// groupRequest returns the message that sends a group to another node. The group may lack as many parts as the whole
// answer may. The node must reply before the planned time of the answer by the round trip to it.
func (e *execution) groupRequest(g group, spent int) servingtree.Request {
	r, root := e.request, e.gateway.root
	mayMiss := len(e.services) - r.requiredParts
	roundTrip := root.roundTrip.expected(r.route.Objective)
	untilAnswer := time.Until(r.answerBy) - roundTrip
	return servingtree.Request{
		ID: r.Leaf.ID, Method: r.Leaf.Method, Target: r.Leaf.Target, Host: r.Leaf.Host, Header: r.Leaf.Header,
		Body: r.Leaf.Body, HasBody: r.Leaf.HasBody, Caller: r.Caller, Root: root.self.ID, GatherKey: r.route.GatherKey,
		Shards: g.shards, Required: max(1, len(g.shards)-mayMiss), Spent: spent,
		ObjectiveMicros: untilAnswer.Microseconds(), DeadlineMicros: time.Until(e.deadline()).Microseconds(),
		RoundTrip: roundTrip,
	}
}

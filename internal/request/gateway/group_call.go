package gateway

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// GroupOutcome is how a group call to another node ended.
type GroupOutcome string

// The outcomes of a group call. After GroupFailed, GroupCancelled, GroupSilent and GroupBroken, its leafs may have been
// queried.
const (
	GroupAnswered  GroupOutcome = "answered"
	GroupFailed    GroupOutcome = "failed"
	GroupDeclined  GroupOutcome = "declined"
	GroupStopping  GroupOutcome = "leaving"
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

// reportGroup receives the results of a group: parts that arrive early, and then the last result; see
// scatter.StartGroup.
type reportGroup func(groupResult)

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
func (e *execution) startGroup(ctx context.Context, number int, report func(groupResult)) context.CancelCauseFunc {
	c := &groupCall{root: e.gateway.root, execution: e, group: e.groups[number]}
	ctx, cancel := context.WithCancelCause(ctx)
	call := c.start()
	go func() {
		defer cancel(nil)
		report(c.run(ctx, call, report))
	}()
	return cancel
}

// maximumIntermediates is how many nodes one group is sent to, one after the other. After two that returned nothing,
// most of an objective has passed.
const maximumIntermediates = 2

func (c *groupCall) start() *servingtree.Call {
	c.root.nodes.begin(c.group.node)
	return c.root.intermediates.Start(c.group.node.Tree, c.execution.groupRequest(c.group, c.spent))
}

// run waits for the group. If its node returned nothing and may not have made all attempts, the group is sent to
// another node. Otherwise package scatter queries the shards from this node, unless the result is final.
func (c *groupCall) run(ctx context.Context, call *servingtree.Call, report reportGroup) groupResult {
	for queried := 1; ; queried++ {
		began := time.Now()
		ended := c.await(ctx, call, report)
		c.recordEnd(ended, time.Since(began))
		result := c.withSpent(ended.result)
		if queried == maximumIntermediates || result.Replies != nil || result.Final || result.ConnectionLost || c.gotPartial || ended.outcome == GroupCancelled {
			return result
		}
		node, found := c.root.choose(c.group.zones)
		if !found {
			return result
		}
		c.group.node = node
		call = c.start()
	}
}

// withSpent adds to a result the attempts that may have been made by nodes that returned nothing. They count toward the
// route's MaximumAttempts. The request may have run at one of these nodes, even if the last node did not run it.
func (c *groupCall) withSpent(result groupResult) groupResult {
	if result.Replies != nil {
		return result
	}
	if result.Execution != scatter.NotRun {
		c.spent++
	}
	if c.spent > 0 && result.Execution == scatter.NotRun {
		result.Execution = scatter.Unknown
	}
	result.Spent = c.spent
	result.Final = result.Final || c.spent >= c.execution.request.route.Attempts
	return result
}

// recordEnd reports the end of a group, and what it shows about the node and its zone.
func (c *groupCall) recordEnd(ended groupEnd, took time.Duration) {
	e, node := c.execution, c.group.node
	record := GroupRecord{
		RequestID: e.request.Leaf.ID, Intermediate: node.ID, Shards: len(c.group.shards),
		Outcome: ended.outcome, Reason: ended.reason, Took: took,
	}
	c.root.nodes.end(node, record.Outcome)
	c.observeZone(record.Outcome)
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
// answer may. The node must reply one round trip before the planned time of the answer.
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
		RoundTrip: roundTrip, Memory: r.Leaf.Memory,
	}
}

package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// errSilent ends the connection to an intermediate that showed no sign of work.
var errSilent = errors.New("the intermediate is silent")

// GroupOutcome is how it went to let another node gather a group.
type GroupOutcome string

// The outcomes of a group. After the last two its leafs may have been asked.
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

// GroupRecord is a group that another node was asked to gather, with what came of it.
type GroupRecord struct {
	RequestID string
	// Intermediate is the id of the node that was asked.
	Intermediate string
	Parts        int
	Outcome      GroupOutcome
	// Reason is why it declined or failed, or what ended the connection.
	Reason string
	Took   time.Duration
}

// assignGroups notes which groups other nodes are asked for first.
func (e *execution) assignGroups(groups []group) {
	e.groups = groups
	e.inGroup = make([]bool, len(e.services))
	for _, group := range groups {
		for _, shard := range group.shards {
			e.inGroup[shard] = true
		}
	}
}

// groupsOf gives the parts of a route that other nodes gather for this work.
func (e *execution) groupsOf(entry *routing.Entry) []group {
	groups := e.gateway.root.groups(entry)
	if e.tracked != nil && e.tracked.IsAlert() {
		return keepOneShard(groups, len(e.services))
	}
	return groups
}

// isInGroup reports whether another node is asked for a service first.
func (e *execution) isInGroup(shard int) bool { return len(e.groups) > 0 && e.inGroup[shard] }

// groupRecords gives what came of the groups that ended.
func (e *execution) groupRecords() []GroupRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.groupsEnded
}

// startGroup implements scatter.StartGroup.
func (e *execution) startGroup(ctx context.Context, number int, done func(scatter.GroupResult[leafhttp.Response])) context.CancelCauseFunc {
	passed := &groupCall{root: e.gateway.root, execution: e, group: e.groups[number]}
	ctx, cancel := context.WithCancelCause(ctx)
	call := passed.start()
	go func() {
		defer cancel(nil)
		done(passed.run(ctx, call, done))
	}()
	return cancel
}

// maximumIntermediates is how many nodes are asked for one group at most: after two that gave nothing most
// of an objective is over.
const maximumIntermediates = 2

// start asks the node of the group.
func (p *groupCall) start() *servingtree.Call {
	p.root.nodes.begin(p.group.node)
	return p.root.intermediates.Start(p.group.node.Tree, p.execution.groupRequest(p.group, p.spent))
}

// run awaits the group, and asks another node for it where the first gave nothing. Attempts that the
// first may have made count among those of the route.
func (p *groupCall) run(ctx context.Context, call *servingtree.Call, done groupDone) scatter.GroupResult[leafhttp.Response] {
	for asked := 1; ; asked++ {
		began := time.Now()
		ended := p.await(ctx, call, done)
		p.recordEnd(ended, time.Since(began))
		result := p.withSpent(ended.result)
		if asked == maximumIntermediates || result.Replies != nil || result.Final || result.Broke || p.gotPartial || ended.outcome == GroupCancelled {
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

// withSpent adds to a result what the nodes that gave nothing may have spent.
func (p *groupCall) withSpent(result scatter.GroupResult[leafhttp.Response]) scatter.GroupResult[leafhttp.Response] {
	if result.Replies != nil {
		return result
	}
	if result.Execution != scatter.NotRun {
		p.spent++
	}
	if p.spent > 0 && result.Execution == scatter.NotRun {
		result.Execution = scatter.Unknown // by what an earlier node may have done
	}
	result.Spent = p.spent
	result.Final = result.Final || p.spent >= p.execution.request.route.Attempts
	return result
}

// note tells of the end of a group, and learns from it who can be asked.
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

// ask puts a group as it is passed on. Of its parts, as many may be missing as of the whole answer.
func (e *execution) groupRequest(part group, spent int) servingtree.Request {
	r, root := e.request, e.gateway.root
	mayMiss := len(e.services) - r.requiredParts
	roundTrip := root.hop.expected(r.route.Objective)
	planned := time.Until(r.answerBy) - roundTrip
	return servingtree.Request{
		ID: r.Leaf.ID, Method: r.Leaf.Method, Target: r.Leaf.Target, Host: r.Leaf.Host, Header: r.Leaf.Header,
		Body: r.Leaf.Body, HasBody: r.Leaf.HasBody, Caller: r.Caller, Root: root.self.ID, GatherKey: r.route.GatherKey,
		Shards: part.shards, Required: max(1, len(part.shards)-mayMiss), Spent: spent,
		ObjectiveMicros: planned.Microseconds(), DeadlineMicros: time.Until(e.deadline()).Microseconds(),
		RoundTrip: roundTrip,
	}
}

// told takes what came of a group, see scatter.StartGroup.
type groupDone func(scatter.GroupResult[leafhttp.Response])

// groupEnd is how a group ended.
type groupEnd struct {
	result  scatter.GroupResult[leafhttp.Response]
	outcome GroupOutcome
	// reason says what went wrong.
	reason string
}

// passing is a group that is with another node.
type groupCall struct {
	root      *root
	execution *execution
	group     group
	// spent is how many attempts of each shard nodes that gave nothing may have made.
	spent int
	// gotPartial says that some parts are in: their records are merged, so that no other node may give
	// them again.
	gotPartial bool
}

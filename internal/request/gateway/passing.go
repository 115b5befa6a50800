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

// passOn notes which groups other nodes are asked for first.
func (w *gathering) passOn(groups []group) {
	w.groups = groups
	w.passedOn = make([]bool, len(w.services))
	for _, group := range groups {
		for _, shard := range group.shards {
			w.passedOn[shard] = true
		}
	}
}

// groupsOf gives the parts of a route that other nodes gather for this work.
func (w *gathering) groupsOf(entry *routing.Entry) []group {
	groups := w.gateway.root.groups(entry)
	if w.try != nil && w.try.IsAlert() {
		return spare(groups, len(w.services))
	}
	return groups
}

// isPassedOn reports whether another node is asked for a service first.
func (w *gathering) isPassedOn(shard int) bool { return len(w.groups) > 0 && w.passedOn[shard] }

// groupRecords gives what came of the groups that ended.
func (w *gathering) groupRecords() []GroupRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.groupsEnded
}

// startGroup implements scatter.StartGroup.
func (w *gathering) startGroup(ctx context.Context, number int, tell func(scatter.GroupResult[leafhttp.Response])) context.CancelCauseFunc {
	passed := &passing{root: w.gateway.root, work: w, group: w.groups[number]}
	ctx, cancel := context.WithCancelCause(ctx)
	call := passed.start()
	go func() {
		defer cancel(nil)
		tell(passed.run(ctx, call, tell))
	}()
	return cancel
}

// mostIntermediates is how many nodes are asked for one group at most: after two that gave nothing most
// of an objective is over.
const mostIntermediates = 2

// start asks the node of the group.
func (p *passing) start() *servingtree.Call {
	p.root.standing.begin(p.group.node)
	return p.root.intermediates.Start(p.group.node.Tree, p.work.ask(p.group, p.spent))
}

// run awaits the group, and asks another node for it where the first gave nothing. Attempts that the
// first may have made count among those of the route.
func (p *passing) run(ctx context.Context, call *servingtree.Call, tell told) scatter.GroupResult[leafhttp.Response] {
	for asked := 1; ; asked++ {
		began := time.Now()
		ended := p.await(ctx, call, tell)
		p.note(ended, time.Since(began))
		result := p.withSpent(ended.result)
		if asked == mostIntermediates || result.Replies != nil || result.Final || result.Broke || p.toldParts || ended.outcome == GroupCancelled {
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
func (p *passing) withSpent(result scatter.GroupResult[leafhttp.Response]) scatter.GroupResult[leafhttp.Response] {
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
	result.Final = result.Final || p.spent >= p.work.query.entry.Attempts
	return result
}

// note tells of the end of a group, and learns from it who can be asked.
func (p *passing) note(ended groupEnd, took time.Duration) {
	w, node := p.work, p.group.node
	record := GroupRecord{
		RequestID: w.query.Leaf.ID, Intermediate: node.ID, Parts: len(p.group.shards),
		Outcome: ended.outcome, Reason: ended.reason, Took: took,
	}
	p.root.standing.learn(node, record.Outcome)
	p.learnZone(record.Outcome)
	w.gateway.events.GroupEnded(record)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.groupsEnded = append(w.groupsEnded, record)
}

// ask puts a group as it is passed on. Of its parts, as many may be missing as of the whole answer.
func (w *gathering) ask(part group, spent int) servingtree.Request {
	q, r := w.query, w.gateway.root
	mayMiss := len(w.services) - q.required
	ways := r.hop.expected(q.entry.Objective)
	planned := time.Until(q.planned) - ways
	return servingtree.Request{
		ID: q.Leaf.ID, Method: q.Leaf.Method, Target: q.Leaf.Target, Host: q.Leaf.Host, Header: q.Leaf.Header,
		Body: q.Leaf.Body, HasBody: q.Leaf.HasBody, Caller: q.Caller, Root: r.self.ID, GatherKey: q.entry.GatherKey,
		Shards: part.shards, Required: max(1, len(part.shards)-mayMiss), Spent: spent,
		ObjectiveMicros: planned.Microseconds(), DeadlineMicros: time.Until(w.deadline()).Microseconds(),
		RoundTrip: ways,
	}
}

// told takes what came of a group, see scatter.StartGroup.
type told func(scatter.GroupResult[leafhttp.Response])

// groupEnd is how a group ended.
type groupEnd struct {
	result  scatter.GroupResult[leafhttp.Response]
	outcome GroupOutcome
	// reason says what went wrong.
	reason string
}

// passing is a group that is with another node.
type passing struct {
	root  *root
	work  *gathering
	group group
	// spent is how many attempts of each shard nodes that gave nothing may have made.
	spent int
	// toldParts says that some parts are in: their records are merged, so that no other node may give
	// them again.
	toldParts bool
}

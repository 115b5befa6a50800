package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leafhttp"
	"github.com/portgauge/portgauge/internal/routing"
	"github.com/portgauge/portgauge/internal/scatter"
	"github.com/portgauge/portgauge/internal/servingtree"
)

// Fleet gives the nodes that gather requests; registry.Census is the real one.
type Fleet interface {
	Gatherers() []catalog.NodeRecord
}

// Intermediates passes groups on to other nodes; servingtree.Client is the real one.
type Intermediates interface {
	Start(address string, ask servingtree.Ask) *servingtree.Call
	// DropSilent closes the connection to a node if nothing came from there for so long.
	DropSilent(address string, silence time.Duration, cause error)
}

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

// group is the services that one other node gathers.
type group struct {
	node catalog.NodeRecord
	// shards are indices into the route's services.
	shards []int
}

// scatterGroups puts groups as the scatter engine takes them.
func scatterGroups(groups []group) []scatter.Group {
	if len(groups) == 0 {
		return nil
	}
	plain := make([]scatter.Group, len(groups))
	for index, group := range groups {
		plain[index] = scatter.Group{Shards: group.shards}
	}
	return plain
}

// root is the side of the serving tree that asks other nodes to gather.
type root struct {
	self          catalog.NodeRecord
	fleet         Fleet
	intermediates Intermediates
	placement     *placement
	standing      *standing
	// hop is what the ways to and from an intermediate take.
	hop lagTracker
}

func newRoot(parts Parts) *root {
	return &root{
		self: parts.Self, fleet: parts.Fleet, intermediates: parts.Intermediates,
		placement: newPlacement(parts.Catalog, parts.Self.Zone), standing: newStanding(),
	}
}

// leastGroup is how many services a group must have to be worth a hop.
const leastGroup = 3

// groups gives the services of a route that other nodes gather: those of other zones, by a node
// there, and, where others of the own zone have far more processors, the rest, by one of them.
func (r *root) groups(entry *routing.Entry) []group {
	gatherers := r.fleet.Gatherers()
	isGatherer := slices.ContainsFunc(gatherers, func(node catalog.NodeRecord) bool { return node.ID == r.self.ID })
	var groups []group
	for _, part := range r.placement.of(entry) {
		if len(part.shards) < leastGroup || part.zones[r.self.Zone] && isGatherer {
			continue
		}
		node, found := r.standing.choose(gatherers, func(node catalog.NodeRecord) bool {
			return node.Tree != "" && node.ID != r.self.ID && part.zones[node.Zone]
		})
		if found {
			groups = append(groups, group{node: node, shards: part.shards})
		}
	}
	return groups
}

// isPassedOn reports whether another node is asked for a service first.
func (w *gathering) isPassedOn(shard int) bool {
	return slices.ContainsFunc(w.groups, func(group group) bool { return slices.Contains(group.shards, shard) })
}

// groupRecords gives what came of the groups that ended.
func (w *gathering) groupRecords() []GroupRecord {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.groupsEnded
}

// startGroup implements scatter.StartGroup.
func (w *gathering) startGroup(ctx context.Context, number int, told func(scatter.GroupResult[leafhttp.Response])) context.CancelCauseFunc {
	r := w.gateway.root
	passed := &passing{root: r, work: w, group: w.groups[number]}
	ctx, cancel := context.WithCancelCause(ctx)
	call := r.intermediates.Start(passed.group.node.Tree, w.ask(passed.group))
	go func() {
		defer cancel(nil)
		began := time.Now()
		record := GroupRecord{RequestID: w.query.Leaf.ID, Intermediate: passed.group.node.ID, Parts: len(passed.group.shards)}
		var result scatter.GroupResult[leafhttp.Response]
		result, record.Outcome, record.Reason = passed.await(ctx, call, told)
		record.Took = time.Since(began)
		r.standing.learn(passed.group.node, record.Outcome)
		w.gateway.journal.Passed(record)
		w.mutex.Lock()
		w.groupsEnded = append(w.groupsEnded, record)
		w.mutex.Unlock()
		told(result)
	}()
	return cancel
}

// ask puts a group as it is passed on. Of its parts, as many may be missing as of the whole answer.
func (w *gathering) ask(part group) servingtree.Ask {
	q, r := w.query, w.gateway.root
	mayMiss := len(w.services) - q.required
	planned := time.Until(q.planned) - r.hop.expected(q.entry.Objective)
	return servingtree.Ask{
		ID: q.Leaf.ID, Method: q.Leaf.Method, Target: q.Leaf.Target, Host: q.Leaf.Host, Header: q.Leaf.Header,
		Body: q.Leaf.Body, HasBody: q.Leaf.HasBody, Root: r.self.ID, Revision: q.table.Revision,
		Shards: part.shards, Required: max(1, len(part.shards)-mayMiss),
		ObjectiveMicros: planned.Microseconds(), DeadlineMicros: time.Until(q.deadline).Microseconds(),
	}
}

// passing is a group that is with another node.
type passing struct {
	root  *root
	work  *gathering
	group group
}

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
// is asked for one after the objective. The reason says what went wrong.
func (p *passing) await(ctx context.Context, call *servingtree.Call, told func(scatter.GroupResult[leafhttp.Response])) (result scatter.GroupResult[leafhttp.Response], outcome GroupOutcome, reason string) {
	began := time.Now()
	wait := p.signWait()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	signs, unanswered := 0, 0
	for {
		select {
		case ended := <-call.Done():
			select {
			case answer := <-call.Parts():
				p.tellParts(answer, told)
			default:
			}
			return p.judge(ended, time.Since(began))
		case answer := <-call.Parts():
			p.tellParts(answer, told)
		case <-call.Signs():
			signs++
			unanswered = 0
			// The answer is late when the next sign is due: there is nothing to be won by haste.
			wait = p.work.query.entry.Objective
			timer.Reset(max(wait, time.Until(p.work.query.objective)))
		case <-timer.C:
			// A node that is late itself may find its timer over before it has read the sign.
			if unanswered >= mostProbes {
				return p.giveUp(call, signs > 0)
			}
			unanswered++
			call.Probe()
			timer.Reset(wait / 2)
		case <-ctx.Done():
			call.Cancel()
			return result, GroupCancelled, ""
		}
	}
}

// leastSilence is how long nothing must have come from an intermediate for its connection to be given
// up, and with it all that is under way there.
const leastSilence = 300 * time.Millisecond

// tellParts tells of the parts that are in before the end.
func (p *passing) tellParts(answer servingtree.Answer, told func(scatter.GroupResult[leafhttp.Response])) {
	if len(answer.Stamps) == len(p.group.shards) {
		told(scatter.GroupResult[leafhttp.Response]{Replies: p.replies(&answer), More: true})
	}
}

// giveUp ends a call to an intermediate that is silent.
func (p *passing) giveUp(call *servingtree.Call, hasBegun bool) (result scatter.GroupResult[leafhttp.Response], outcome GroupOutcome, reason string) {
	isSent := call.Cancel()
	p.root.intermediates.DropSilent(p.group.node.Tree, leastSilence, errSilent)
	if !isSent {
		result.Execution = scatter.NotRun
		return result, GroupNeverSent, errSilent.Error()
	}
	// Once it has begun, it may have spent all attempts that the route allows.
	result.Final = hasBegun
	return result, GroupSilent, errSilent.Error()
}

// judge says what a result is worth.
func (p *passing) judge(ended servingtree.Result, took time.Duration) (result scatter.GroupResult[leafhttp.Response], outcome GroupOutcome, reason string) {
	var neverSent *servingtree.NeverSentError
	switch {
	case errors.As(ended.Err, &neverSent):
		result.Execution = scatter.NotRun
		return result, GroupNeverSent, ended.Err.Error()
	case ended.Err != nil:
		return result, GroupBroken, ended.Err.Error()
	}
	p.root.hop.observe(took - time.Duration(ended.Reply.TookMicros)*time.Microsecond)
	switch reply := ended.Reply; {
	case reply.Answer != nil && len(reply.Answer.Stamps) == len(p.group.shards):
		result.Replies = p.replies(reply.Answer)
		return result, GroupAnswered, ""
	case reply.Answer != nil:
		return result, GroupBroken, "the answer has parts of other services"
	case reply.Failure != nil:
		p.work.keepRefusal(p.group, reply.Failure)
		result.Final, result.Execution = true, executionOf(reply.Failure.Execution)
		return result, GroupFailed, reply.Failure.Message
	case reply.Decline == servingtree.Leaving:
		result.Execution = scatter.NotRun
		return result, GroupLeaving, string(reply.Decline)
	default:
		result.Execution = scatter.NotRun
		return result, GroupDeclined, string(reply.Decline)
	}
}

// keepRefusal keeps the failure of a group that is all of the request.
func (w *gathering) keepRefusal(part group, failed *servingtree.Failure) {
	if len(part.shards) < len(w.services) {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.refusal = failed.Err()
}

// replies gives the parts of an answer. Their records are merged already; the first part that is in
// carries them all.
func (p *passing) replies(answer *servingtree.Answer) []*leafhttp.Response {
	replies := make([]*leafhttp.Response, len(answer.Stamps))
	records := answer.Records
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

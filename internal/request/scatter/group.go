package scatter

import (
	"context"
	"slices"
	"time"
)

// Group is a set of shards that another node queries for this one and answers together. This node neither queries nor
// hedges its shards while the group is in flight, so that no shard gets two replies. If the group ends without an
// answer, each shard is queried directly. StartGroup decides when a group times out.
type Group struct {
	// Shards are indices into the plan's shards.
	Shards []int
}

// MissingInGroup is the reason for shards that are missing in the answer of their group.
const MissingInGroup Reason = "MISSING_IN_GROUP"

// GroupResult is the partial or final result of a group's attempt.
type GroupResult[Reply any] struct {
	// Replies are the replies of the group's shards, in the order of Group.Shards; an element is nil if the reply is
	// missing. The slice is nil if there is no answer.
	Replies []*Reply
	// Partial is true if a final result follows, which may have the missing replies.
	Partial bool
	// Execution says whether leafs may have run the request if there is no answer.
	Execution Execution
	// Spent is the number of attempts per shard that may have been made if there is no answer. It counts as at least 1
	// unless Execution is NotRun.
	Spent int
	// Final is true if there is no answer and querying the shards directly would not help.
	Final bool
	// ConnectionLost is true if there is no answer and the request may have crashed leafs.
	ConnectionLost bool
}

// StartGroup starts the attempt of the group with the given index in the plan, without blocking. It calls report at most
// once with a partial result, and once with the final result. The returned function cancels the attempt.
type StartGroup[Reply any] func(ctx context.Context, group int, report func(GroupResult[Reply])) context.CancelCauseFunc

// resultsPerGroup is the maximum number of results of a group: one partial and one final result.
const resultsPerGroup = 2

// finishedGroup is a group and its partial or final result.
type finishedGroup[Reply any] struct {
	group  int
	result GroupResult[Reply]
}

// groupState is the progress of the plan's groups.
type groupState[Reply any] struct {
	results chan finishedGroup[Reply]
	cancels []context.CancelCauseFunc
	// openShards counts the shards that wait for the result of their group.
	openShards int
	// startBy is the latest time at which delayed groups start; zero if no group is delayed.
	startBy time.Time
}

// markGroups marks the shards that are in a group.
func (s *Scatter[Reply]) markGroups() {
	for _, group := range s.plan.Groups {
		for _, index := range group.Shards {
			s.shards[index].isGrouped = true
		}
		s.groups.openShards += len(group.Shards)
	}
}

func (s *Scatter[Reply]) startGroups() {
	for number := range s.plan.Groups {
		s.summary.Groups++
		s.groups.cancels = append(s.groups.cancels, s.deps.StartGroup(s.ctx, number, func(result GroupResult[Reply]) {
			s.groups.results <- finishedGroup[Reply]{number, result}
		}))
	}
}

// delayGroups makes the groups wait for the head start of the first attempt.
func (s *Scatter[Reply]) delayGroups() {
	s.markGroups()
	s.groups.startBy = s.began.Add(s.plan.HeadStart)
	s.caution.hasDelayed = true
}

// startDelayedGroups starts delayed groups once a leaf has answered or the head start is over. If the answer of a leaf
// was cut off instead, the request may crash leafs and must not be sent to other nodes: this node queries the shards of
// the groups directly.
func (s *Scatter[Reply]) startDelayedGroups() {
	if s.groups.startBy.IsZero() {
		return
	}
	if !s.summary.Ran && s.caution.connectionLost {
		s.groups.startBy = time.Time{}
		s.queryGroupsDirectly()
		return
	}
	if s.summary.Ran || !s.inHeadStart() {
		s.groups.startBy = time.Time{}
		s.startGroups()
	}
}

// queryGroupsDirectly queries each shard of the groups directly. The groups must not have been started.
func (s *Scatter[Reply]) queryGroupsDirectly() {
	for _, group := range s.plan.Groups {
		for _, index := range group.Shards {
			s.shards[index].isGrouped = false
			s.launchFirst(index)
		}
		s.groups.openShards -= len(group.Shards)
	}
}

// handleGroup accepts the replies of a group. Without an answer, the shards are queried directly unless the result is
// final. Shards that are missing in a complete answer are settled without a reply.
func (s *Scatter[Reply]) handleGroup(ended finishedGroup[Reply]) {
	result := ended.result
	s.recordGroup(result)
	s.caution.connectionLost = s.caution.connectionLost || result.ConnectionLost
	s.releaseDelayed()
	for position, index := range s.plan.Groups[ended.group].Shards {
		shard := &s.shards[index]
		hasReply := result.Replies != nil && result.Replies[position] != nil
		if !shard.isGrouped || result.Partial && !hasReply {
			continue
		}
		shard.isGrouped = false
		s.groups.openShards--
		switch {
		case shard.done:
		case hasReply:
			s.accept(shard, result.Replies[position])
		case result.Replies == nil && !result.Final:
			s.queryDirectly(index, result)
		default:
			shard.reason = MissingInGroup
			s.settle(shard)
		}
	}
}

// queryDirectly queries a shard whose group returned no answer. Attempts that the group may have made count as spent.
func (s *Scatter[Reply]) queryDirectly(index int, result GroupResult[Reply]) {
	if result.Execution != NotRun {
		s.shards[index].setSpent(max(1, result.Spent), s.plan.MaximumAttempts)
	}
	s.launchFirst(index)
}

// recordGroup adds the execution of a group's result to the summary.
func (s *Scatter[Reply]) recordGroup(result GroupResult[Reply]) {
	hasReplies := slices.ContainsFunc(result.Replies, func(reply *Reply) bool { return reply != nil })
	switch {
	case hasReplies || result.Execution == Ran:
		s.summary.Ran = true
	case result.Execution == Unknown:
		s.summary.MayHaveRun = true
	}
}

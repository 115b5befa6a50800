package scatter

import (
	"context"
	"slices"
	"time"
)

// Group is a set of shards that another node asks on behalf of this one; it sends back all of their replies together.
// Without an answer, each shard is asked by itself. Nothing is hedged while a group is asked, so that no shard has two
// replies; whoever carries out the group decides when to give it up.
type Group struct {
	// Shards are indices into the plan's shards.
	Shards []int
}

// MissingInGroup is the reason of shards that the answer of their group lacked.
const MissingInGroup Reason = "MISSING_IN_GROUP"

// GroupResult is a result of the attempt of a group, at its end or before.
type GroupResult[Reply any] struct {
	// Replies are those of the group's shards, in its order, nil for those that are missing; nil as a
	// whole if there is no answer.
	Replies []*Reply
	// Partial says that the missing replies may still come.
	Partial bool
	// Execution is what is known about the leafs if there is no answer.
	Execution Execution
	// Spent is how many attempts of each shard may have been made if there is no answer; at least
	// one counts unless the execution says that none ran.
	Spent int
	// Final says that there is no answer, and that asking each shard by itself could not help.
	Final bool
	// BrokeOff says that there is no answer, and that the request may have crashed leafs.
	BrokeOff bool
}

// StartGroup starts the attempt of a group, by its index in the plan, without blocking. It calls report at most once
// with a partial result and once with the final one. The returned function cancels the attempt.
type StartGroup[Reply any] func(ctx context.Context, group int, report func(GroupResult[Reply])) context.CancelCauseFunc

// resultsPerGroup is the maximum number of results of a group: a partial one and the final one.
const resultsPerGroup = 2

// finishedGroup is a group with a result.
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
	// startBy is when delayed groups start at the latest; zero if they are not delayed or have started.
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

// startGroups starts the attempts of all groups.
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

// startDelayedGroups starts delayed groups once a leaf has answered or the head start is over. If a leaf broke off its
// answer instead, the request may crash leafs, and no other node must spread it: this node asks the groups' shards
// itself, one by one.
func (s *Scatter[Reply]) startDelayedGroups() {
	if s.groups.startBy.IsZero() {
		return
	}
	if !s.summary.Ran && s.caution.brokeOff {
		s.groups.startBy = time.Time{}
		s.dissolveGroups()
		return
	}
	if s.summary.Ran || !s.inHeadStart() {
		s.groups.startBy = time.Time{}
		s.startGroups()
	}
}

// dissolveGroups asks each shard of groups that were not started by itself.
func (s *Scatter[Reply]) dissolveGroups() {
	for _, group := range s.plan.Groups {
		for _, index := range group.Shards {
			s.shards[index].isGrouped = false
			s.launchFirst(index)
		}
		s.groups.openShards -= len(group.Shards)
	}
}

// handleGroup accepts the replies of a group. Without an answer its shards are asked one by one, unless that could not
// help; shards that an answer lacks are settled.
func (s *Scatter[Reply]) handleGroup(ended finishedGroup[Reply]) {
	result := ended.result
	s.recordGroup(result)
	s.caution.brokeOff = s.caution.brokeOff || result.BrokeOff
	s.releaseDelayed()
	for place, index := range s.plan.Groups[ended.group].Shards {
		shard := &s.shards[index]
		hasReply := result.Replies != nil && result.Replies[place] != nil
		if !shard.isGrouped || result.Partial && !hasReply {
			continue
		}
		shard.isGrouped = false
		s.groups.openShards--
		switch {
		case shard.done:
		case hasReply:
			s.accept(shard, result.Replies[place])
		case result.Replies == nil && !result.Final:
			s.queryDirectly(index, result)
		default:
			shard.reason = MissingInGroup
			s.settle(shard)
		}
	}
}

// queryDirectly asks a shard whose group gave no answer. Attempts that the group may have made count.
func (s *Scatter[Reply]) queryDirectly(index int, result GroupResult[Reply]) {
	if result.Execution != NotRun {
		s.shards[index].setSpent(max(1, result.Spent), s.plan.MaximumAttempts)
	}
	s.launchFirst(index)
}

// recordGroup adds what a group's result says about the execution to the summary.
func (s *Scatter[Reply]) recordGroup(result GroupResult[Reply]) {
	hasReplies := slices.ContainsFunc(result.Replies, func(reply *Reply) bool { return reply != nil })
	switch {
	case hasReplies || result.Execution == Ran:
		s.summary.Ran = true
	case result.Execution == Unknown:
		s.summary.MaybeRan = true
	}
}

package scatter

import (
	"context"
	"slices"
)

// Group is some shards that are asked as one: another node asks their leafs and gives back all of
// their replies together. If it gives none, each shard is asked by itself. Nothing is hedged while a
// group is asked, so that no shard has two replies; whoever carries the group out decides when to
// give up on it.
type Group struct {
	// Shards are indices into the plan's shards.
	Shards []int
}

// GroupReason is the reason of shards that the answer of their group lacked.
const GroupReason Reason = "MISSING_IN_GROUP"

// GroupResult is what came of the attempt of a group, at its end or before.
type GroupResult[Reply any] struct {
	// Replies are those of the group's shards, in its order, nil for those that are not in; nil as a
	// whole when there is no answer.
	Replies []*Reply
	// Partial says that the others may still come.
	Partial bool
	// Execution is what is known of the leafs when there is no answer.
	Execution Execution
	// Spent is how many attempts of each shard may have been made when there is no answer; at least
	// one counts unless the execution says that none ran.
	Spent int
	// Final says that there is no answer, and that asking each shard by itself could not help.
	Final bool
	// BrokeOff says that there is no answer, and that leafs may have ended by the request.
	BrokeOff bool
}

// StartGroup begins the attempt of a group, by its index in the plan, without blocking. It calls told
// with what came before the end, once at most, and with the end; the function that it gives ends an
// attempt whose answer nobody waits for.
type StartGroup[Reply any] func(ctx context.Context, group int, told func(GroupResult[Reply])) context.CancelCauseFunc

// resultsOfGroup is how many results a group has at most.
const resultsOfGroup = 2

// finishedGroup is a group with its result.
type finishedGroup[Reply any] struct {
	group  int
	result GroupResult[Reply]
}

// markGroups notes which shards are in a group.
func (s *Scatter[Reply]) markGroups() {
	for _, group := range s.plan.Groups {
		for _, index := range group.Shards {
			s.shards[index].isGrouped = true
		}
		s.grouped += len(group.Shards)
	}
}

// ungroupAll asks for all shards of groups that were not begun with.
func (s *Scatter[Reply]) ungroupAll() {
	for _, group := range s.plan.Groups {
		for _, index := range group.Shards {
			s.shards[index].isGrouped = false
			s.launchFirst(index)
		}
		s.grouped -= len(group.Shards)
	}
}

// startGroups begins the attempts of all groups.
func (s *Scatter[Reply]) startGroups() {
	for number := range s.plan.Groups {
		s.summary.Groups++
		s.cancelGroups = append(s.cancelGroups, s.startGroup(s.ctx, number, func(result GroupResult[Reply]) {
			s.groupResults <- finishedGroup[Reply]{number, result}
		}))
	}
}

// handleGroup takes the replies of a group. Without an answer its shards are asked one by one.
func (s *Scatter[Reply]) handleGroup(ended finishedGroup[Reply]) {
	result := ended.result
	s.learnExecution(result)
	s.hasBroken = s.hasBroken || result.BrokeOff
	s.release()
	for place, index := range s.plan.Groups[ended.group].Shards {
		shard := &s.shards[index]
		isIn := result.Replies != nil && result.Replies[place] != nil
		if !shard.isGrouped || result.Partial && !isIn {
			continue
		}
		shard.isGrouped = false
		s.grouped--
		switch {
		case shard.done:
		case isIn:
			s.accept(shard, result.Replies[place])
		case result.Replies == nil && !result.Final:
			s.ungroup(index, result)
		default:
			shard.reason = GroupReason
			s.settle(shard)
		}
	}
}

// ungroup asks for a shard whose group gave no answer.
func (s *Scatter[Reply]) ungroup(index int, result GroupResult[Reply]) {
	if result.Execution != NotRun {
		s.shards[index].spend(max(1, result.Spent), s.plan.MaximumAttempts)
	}
	s.launchFirst(index)
}

func (s *Scatter[Reply]) learnExecution(result GroupResult[Reply]) {
	answered := slices.ContainsFunc(result.Replies, func(reply *Reply) bool { return reply != nil })
	switch {
	case answered || result.Execution == Ran:
		s.summary.Ran = true
	case result.Execution == Unknown:
		s.summary.MaybeRan = true
	}
}

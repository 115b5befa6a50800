// Package scatter sends one request to one leaf of each of many shards, hedges slow attempts, retries failed ones, and
// decides when to stop waiting.
//
// It is independent of the protocol: the caller supplies the shards with their replicas, a Policy for hedges and
// retries, and a function that starts one attempt. It returns the reply of each shard, or the reason why there is
// none, and what is known about whether anything ran.
//
// A Scatter serves one request. The goroutine that calls Run owns all of its state; attempts run in goroutines of the
// caller and only send their results. Leafs are chosen by package balancer. All times are by the runtime's monotonic
// clock; reasons and executions are reported as typed values, never as errors.
package scatter

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// Scatter is one request in progress. All of its state belongs to the goroutine that calls Run.
type Scatter[Reply any] struct {
	plan Plan
	deps Deps[Reply]

	ctx     context.Context
	began   time.Time
	results chan *finished[Reply]
	shards  []shardState[Reply]
	open    int // shards without an outcome
	// isPlanFresh says that the plan's candidates are current, so that Plan.Refresh need not be called.
	isPlanFresh bool
	summary     Summary

	groups  groupState[Reply]
	caution caution
	// hedgesHeldSince is when hedges were first postponed because this node itself was late; zero before that.
	hedgesHeldSince time.Time
}

// finished is an attempt with its result.
type finished[Reply any] struct {
	attempt Attempt
	result  Result[Reply]
}

// Deps are what a Scatter is built from besides its plan.
type Deps[Reply any] struct {
	Balancer *balancer.Balancer
	Start    StartAttempt[Reply]
	Observer Observer[Reply]
	// StartGroup starts the attempts of the plan's groups; nil if there are none.
	StartGroup StartGroup[Reply]
	// OnReply is called with each reply that settles a shard, and the shard's index; it may be nil.
	OnReply func(shard int, reply *Reply)
	// Superseded is the cancellation cause of attempts whose reply is no longer needed.
	Superseded error
}

// New returns a Scatter for one request.
func New[Reply any](plan Plan, deps Deps[Reply]) *Scatter[Reply] {
	s := &Scatter[Reply]{
		plan: plan, deps: deps,
		results: make(chan *finished[Reply], len(plan.Shards)*(plan.MaximumAttempts+plan.MaximumRefusals+1)),
		shards:  make([]shardState[Reply], len(plan.Shards)),
		open:    len(plan.Shards),
		groups:  groupState[Reply]{results: make(chan finishedGroup[Reply], resultsPerGroup*len(plan.Groups))},
	}
	for index := range s.shards {
		s.shards[index].index = index
		s.shards[index].setSpent(plan.Shards[index].Spent, plan.MaximumAttempts)
	}
	return s
}

// Run asks the shards and returns one outcome for each, in the order of the plan. It returns as soon as mustWait
// reports that waiting is of no use any more, or at the plan's deadline.
func (s *Scatter[Reply]) Run(ctx context.Context) ([]Outcome[Reply], Summary) {
	deadlined, stopTimer := context.WithDeadline(ctx, s.plan.Deadline)
	defer stopTimer()
	s.ctx = deadlined
	s.began = time.Now()
	defer s.cancelOutstanding()
	s.launchAll()
	s.loop()
	s.summary.EndedAtSoftDeadline = s.open > 0 && s.isSufficient()
	if s.caution.stopped || s.isBlocked() {
		s.summary.StoppedByCrashes = true
		s.giveUp(LeafsCrashed)
	}
	s.giveUp(Unneeded)
	s.countCancelled()
	return s.outcomes(), s.summary
}

// launchAll starts the groups and the first attempts of the shards that are in none.
func (s *Scatter[Reply]) launchAll() {
	if s.plan.HeadStart > 0 {
		s.delayGroups()
	} else {
		s.markGroups()
		s.startGroups()
	}
	s.isPlanFresh = true
	for index := range s.shards {
		if !s.shards[index].isGrouped {
			s.launchFirst(index)
		}
	}
	s.isPlanFresh = false
}

// loop handles results and timers until there is nothing left to wait for.
func (s *Scatter[Reply]) loop() {
	timer := time.NewTimer(s.untilNext())
	defer timer.Stop()
	for s.mustWait() {
		select {
		case ended := <-s.results:
			s.handle(ended)
			s.handleQueued()
		case ended := <-s.groups.results:
			s.handleGroup(ended)
		case <-timer.C:
			s.sendDue()
		case <-s.ctx.Done():
			s.giveUp(Deadline)
		}
		timer.Reset(s.untilNext())
	}
}

// handleQueued handles the results that are queued already, so that the timer is reset once for all of them.
func (s *Scatter[Reply]) handleQueued() {
	for s.mustWait() {
		select {
		case ended := <-s.results:
			s.handle(ended)
		default:
			return
		}
	}
}

// handle records the end of an attempt and settles or retries its shard.
func (s *Scatter[Reply]) handle(ended *finished[Reply]) {
	index, result := ended.attempt.Shard, ended.result
	s.caution.unresolved--
	shard := &s.shards[index]
	shard.removeInFlight(ended.attempt.Leaf.ID)
	s.record(ended)
	s.recordCrashEvidence(ended)
	s.releaseDelayed()
	if shard.done || s.caution.stopped {
		return
	}
	if result.Reply != nil {
		shard.leaf = ended.attempt.Leaf
		s.accept(shard, result.Reply)
		s.cancelAttempts(shard)
		return
	}
	shard.reason = result.Reason
	if result.Execution == NotRun || result.NeverArrived {
		shard.refusals++
	}
	if !s.mayRetry(shard, result) {
		s.settleIfIdle(shard)
		return
	}
	shard.neverArrived = result.NeverArrived
	s.launch(index, Retry, s.retryBudget(index))
}

// record adds the result of an attempt to the summary and reports it to the shard's policy.
func (s *Scatter[Reply]) record(ended *finished[Reply]) {
	policy := s.plan.Shards[ended.attempt.Shard].Policy
	switch ended.result.Execution {
	case Ran:
		s.summary.Ran = true
	case Unknown:
		s.summary.MaybeRan = true
	case NotRun:
	}
	if ended.result.Queued {
		s.summary.Queued++
	}
	if ended.result.Outcome == balancer.Shed {
		s.summary.Shed = true
		policy.ObserveShed()
	}
	if ended.result.Outcome == balancer.Succeeded {
		policy.Observe(time.Since(ended.attempt.Started))
	}
}

// accept settles a shard with its reply.
func (s *Scatter[Reply]) accept(shard *shardState[Reply], reply *Reply) {
	shard.reply = reply
	if s.deps.OnReply != nil {
		s.deps.OnReply(shard.index, reply)
	}
	s.summary.Replies++
	if s.summary.Replies == max(1, s.plan.Sufficient) {
		s.summary.SufficientAt = time.Now()
	}
	s.settle(shard)
}

// outcomes returns the outcome of each shard.
func (s *Scatter[Reply]) outcomes() []Outcome[Reply] {
	outcomes := make([]Outcome[Reply], len(s.shards))
	for index := range s.shards {
		shard := &s.shards[index]
		outcomes[index] = Outcome[Reply]{Reply: shard.reply, Leaf: shard.leaf, Reason: shard.reason, Attempts: shard.attempts}
	}
	return outcomes
}

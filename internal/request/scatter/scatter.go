// Package scatter sends a request to one leaf of each shard, hedges slow attempts, retries failed attempts, and decides
// when to stop waiting.
//
// The package is independent of the protocol. The caller supplies the shards with their replicas, a Policy for hedges
// and retries, and a function that starts an attempt. Run returns, for each shard, a reply or the reason why there is
// none, and whether any leaf may have run the request.
//
// A Scatter serves one request. The goroutine that calls Run owns all of its state. Attempts end on other goroutines,
// which only report to the balancer and the observer and send their results. Package balancer chooses the leafs. All
// times are read from the runtime's monotonic clock. Reasons and executions are returned as typed values, never as
// errors.
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
	results chan *finishedAttempt[Reply]
	shards  []shardState[Reply]
	open    int // shards without an outcome
	// isPlanFresh is true while the plan's candidates are current and Plan.Refresh need not be called.
	isPlanFresh bool
	summary     Summary

	groups  groupState[Reply]
	caution caution
	// hedgesPostponedSince is when hedges were first postponed because this node itself was late; zero if they never
	// were.
	hedgesPostponedSince time.Time
}

// finishedAttempt is an attempt and its result.
type finishedAttempt[Reply any] struct {
	attempt Attempt
	result  Result[Reply]
}

// Deps are the dependencies of a Scatter.
type Deps[Reply any] struct {
	Balancer *balancer.Balancer
	Start    StartAttempt[Reply]
	Observer Observer[Reply]
	// StartGroup starts the attempts of the plan's groups; nil if the plan has none.
	StartGroup StartGroup[Reply]
	// OnReply is called with the index of each settled shard and the reply that settled it; it may be nil.
	OnReply func(shard int, reply *Reply)
	// Superseded is the cancellation cause of attempts whose reply is no longer needed.
	Superseded error
}

// New returns a Scatter for one request.
func New[Reply any](plan Plan, deps Deps[Reply]) *Scatter[Reply] {
	s := &Scatter[Reply]{
		plan: plan, deps: deps,
		results: make(chan *finishedAttempt[Reply], len(plan.Shards)*(plan.MaximumAttempts+plan.MaximumRefusals+1)),
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

// Run sends the request to the shards and returns one outcome per shard, in the order of the plan. It returns as soon
// as mustWait reports false, and at the latest at the plan's deadline.
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
		s.settleOpen(LeafsCrashed)
	}
	s.settleOpen(Unneeded)
	s.countCancelled()
	return s.outcomes(), s.summary
}

// launchAll starts the groups and the first attempts of the shards that are in no group.
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

// loop handles results and timers until mustWait reports false.
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
			s.settleOpen(Deadline)
		}
		timer.Reset(s.untilNext())
	}
}

// handleQueued handles the results that are already queued, so that the timer is reset once for all of them.
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

// handle records the result of an attempt and settles or retries its shard.
func (s *Scatter[Reply]) handle(ended *finishedAttempt[Reply]) {
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
func (s *Scatter[Reply]) record(ended *finishedAttempt[Reply]) {
	policy := s.plan.Shards[ended.attempt.Shard].Policy
	switch ended.result.Execution {
	case Ran:
		s.summary.Ran = true
	case Unknown:
		s.summary.MayHaveRun = true
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

func (s *Scatter[Reply]) outcomes() []Outcome[Reply] {
	outcomes := make([]Outcome[Reply], len(s.shards))
	for index := range s.shards {
		shard := &s.shards[index]
		outcomes[index] = Outcome[Reply]{Reply: shard.reply, Leaf: shard.leaf, Reason: shard.reason, Attempts: shard.attempts}
	}
	return outcomes
}

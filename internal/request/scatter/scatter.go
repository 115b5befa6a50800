package scatter

import (
	"context"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// Scatter is the work of one request under way. One goroutine, the caller of Run, owns all of
// its state; attempts run elsewhere and only send their results.
type Scatter[Reply any] struct {
	plan     Plan
	balancer *balancer.Balancer
	start    Start[Reply]
	observer Observer[Reply]
	// superseded is the cause that ends attempts which nobody waits for any more.
	superseded error
	startGroup StartGroup[Reply]
	accepted   func(shard int, reply *Reply)

	ctx     context.Context
	results chan *finished[Reply]
	// groupResults are the ends of the groups' attempts, cancelGroups what ends those under way.
	groupResults chan finishedGroup[Reply]
	cancelGroups []context.CancelCauseFunc
	grouped      int // open shards that are asked in a group
	shards       []shardState[Reply]
	open         int // shards without an outcome
	// isPlanFresh says that the plan's replicas were found just now.
	isPlanFresh bool
	summary     Summary
	began       time.Time
	// heldSince is when hedges first had to wait for this node; zero while they never had to.
	heldSince time.Time

	// hasBroken says that a leaf broke off its answer, isFatal that enough ended under probes.
	hasBroken bool
	isFatal   bool
	// endedProbes counts the probes whose leaf ended, underWay all attempts whose end is not known.
	endedProbes int
	underWay    int
	// hasHeld says that shards or groups wait for a probe.
	hasHeld bool
	// groupsAt is when the groups begin at the latest; zero once they did, and where they did not wait.
	groupsAt time.Time
	// probes counts those under way; the last was sent at probedAt.
	probes   int
	probedAt time.Time
}

// finished is an attempt with its result.
type finished[Reply any] struct {
	attempt Attempt
	result  Result[Reply]
}

// outstanding is an attempt under way.
type outstanding struct {
	leafID  string
	started time.Time
}

// shardState is the progress of one shard.
type shardState[Reply any] struct {
	tried    []string // leafs that were asked
	inFlight []outstanding
	attempts int
	refusals int
	stage    int
	hedgeAt  time.Time // zero when no hedge is to come
	retryAt  time.Time // zero when the shard does not wait for a replica
	counted  bool      // the policy knows of the first attempt
	done     bool
	number   int // its index
	// isGrouped says that the shard is asked in a group, and isRepeat that it may have been asked
	// in one that gave no answer, here or elsewhere.
	isGrouped bool
	isRepeat  bool
	// neverArrived says that the last attempt most likely did not reach its leaf.
	neverArrived bool
	// isHeld says that the shard waits for the end of a probe.
	isHeld    bool
	leaf      *balancer.Leaf
	reply     *Reply
	reason    Reason
	cancelAll []context.CancelCauseFunc
}

// spend counts attempts that may have been made elsewhere, and leaves one.
func (s *shardState[Reply]) spend(spent, most int) {
	s.attempts = min(spent, most-1)
	s.isRepeat = spent > 0
}

// Deps are what a scatter is built from besides its plan.
type Deps[Reply any] struct {
	Balancer *balancer.Balancer
	Start    Start[Reply]
	Observer Observer[Reply]
	// StartGroup begins the attempts of the plan's groups; nil where there are none.
	StartGroup StartGroup[Reply]
	// OnReply is told of each reply that settles a shard, by the shard's index; it may be nil.
	OnReply func(shard int, reply *Reply)
	// Superseded is the cause of the contexts of attempts that lost to another.
	Superseded error
}

// New prepares the work of one request.
func New[Reply any](plan Plan, deps Deps[Reply]) *Scatter[Reply] {
	s := &Scatter[Reply]{
		plan: plan, balancer: deps.Balancer, start: deps.Start, observer: deps.Observer, superseded: deps.Superseded,
		startGroup: deps.StartGroup, accepted: deps.OnReply,
		groupResults: make(chan finishedGroup[Reply], resultsOfGroup*len(plan.Groups)),
		results:      make(chan *finished[Reply], len(plan.Shards)*(plan.MaximumAttempts+plan.MaximumRefusals+1)),
		shards:       make([]shardState[Reply], len(plan.Shards)),
		open:         len(plan.Shards),
	}
	for index := range s.shards {
		s.shards[index].number = index
		s.shards[index].spend(plan.Shards[index].Spent, plan.MaximumAttempts)
	}
	return s
}

// Run gives one outcome for each shard. It returns when all are known, when enough are and the
// soft deadline is over, when too many are lost, or when time is up.
func (s *Scatter[Reply]) Run(ctx context.Context) ([]Outcome[Reply], Summary) {
	deadlined, stopTimer := context.WithDeadline(ctx, s.plan.Deadline)
	defer stopTimer()
	s.ctx = deadlined
	s.began = time.Now()
	defer s.cancelOutstanding()
	if s.plan.HeadStart > 0 {
		s.holdGroups()
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
	timer := time.NewTimer(s.untilNext())
	defer timer.Stop()
	for s.goesOn() {
		select {
		case ended := <-s.results:
			s.handle(ended)
			s.handleWaiting()
		case ended := <-s.groupResults:
			s.handleGroup(ended)
		case <-timer.C:
			s.sendDue()
		case <-s.ctx.Done():
			s.giveUp(Deadline)
		}
		timer.Reset(s.untilNext())
	}
	s.summary.EndedAtSoftDeadline = s.open > 0 && s.enough()
	if s.isFatal || s.isStuck() {
		s.summary.StoppedByCrashes = true
		s.giveUp(LeafsCrashed)
	}
	s.giveUp(Unneeded)
	s.countCancelled()
	return s.outcomes(), s.summary
}

// handleWaiting takes the results that are there, so that the timer is set once for all of them.
func (s *Scatter[Reply]) handleWaiting() {
	for s.goesOn() {
		select {
		case ended := <-s.results:
			s.handle(ended)
		default:
			return
		}
	}
}

// cancelOutstanding ends the attempts whose replies nobody waits for any more.
func (s *Scatter[Reply]) cancelOutstanding() {
	cause := s.superseded
	if s.ctx.Err() != nil {
		cause = context.Cause(s.ctx)
	}
	for _, cancel := range s.cancelGroups {
		cancel(cause)
	}
	for index := range s.shards {
		for _, cancel := range s.shards[index].cancelAll {
			cancel(cause)
		}
	}
}

// goesOn reports whether any shard is still of use and may be asked.
func (s *Scatter[Reply]) goesOn() bool {
	return s.open > 0 && !s.isFatal && !s.isStuck() && !s.enough() && !s.hopeless()
}

// enough reports whether the replies that are in may go out without the others.
func (s *Scatter[Reply]) enough() bool {
	if s.plan.SoftDeadline.IsZero() || s.summary.Replies < max(1, s.plan.Sufficient) {
		return false
	}
	return !time.Now().Before(s.plan.SoftDeadline)
}

// hopeless reports whether so many shards are lost that the rest is of no use.
func (s *Scatter[Reply]) hopeless() bool {
	return s.summary.Replies+s.open < s.plan.Sufficient
}

// handle learns from one attempt's end and decides what follows for its shard.
func (s *Scatter[Reply]) handle(ended *finished[Reply]) {
	index, result := ended.attempt.Shard, ended.result
	s.underWay--
	shard := &s.shards[index]
	shard.inFlight = slices.DeleteFunc(shard.inFlight, func(out outstanding) bool { return out.leafID == ended.attempt.Leaf.ID })
	s.learn(ended)
	s.learnCaution(ended)
	s.release()
	if shard.done || s.isFatal {
		return
	}
	if result.Reply != nil {
		shard.leaf = ended.attempt.Leaf
		s.accept(shard, result.Reply)
		s.abandon(shard)
		return
	}
	shard.reason = result.Reason
	if result.Execution == NotRun || result.NeverArrived {
		shard.refusals++
	}
	if !s.mayRetry(shard, result) {
		s.settleUnlessOut(shard)
		return
	}
	shard.neverArrived = result.NeverArrived
	s.launch(index, Retry, s.allowRetry(index))
}

// accept settles a shard with its reply.
func (s *Scatter[Reply]) accept(shard *shardState[Reply], reply *Reply) {
	shard.reply = reply
	if s.accepted != nil {
		s.accepted(shard.number, reply)
	}
	s.summary.Replies++
	if s.summary.Replies == max(1, s.plan.Sufficient) {
		s.summary.SufficientAt = time.Now()
	}
	s.settle(shard)
}

func (s *Scatter[Reply]) learn(ended *finished[Reply]) {
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

// mayRetry says whether a shard may be asked again after a failed attempt. A request that
// may run at most once is asked again only after proof that the attempt did not run.
func (s *Scatter[Reply]) mayRetry(shard *shardState[Reply], result Result[Reply]) bool {
	if result.Final || s.ctx.Err() != nil || !s.hasAttempts(shard) {
		return false
	}
	return !s.plan.AtMostOnce || result.Execution == NotRun
}

// hasAttempts reports whether the shard may be asked once more.
func (s *Scatter[Reply]) hasAttempts(shard *shardState[Reply]) bool {
	return shard.attempts-min(shard.refusals, s.plan.MaximumRefusals) < s.plan.MaximumAttempts
}

// Package scatter asks one leaf of each shard, and others where one is slow or fails.
//
// It knows nothing of what is asked or how: the caller brings the shards with their replicas,
// a policy for hedges and retries, and a function that runs one attempt. It gives back the
// reply or the reason of each shard, and what is known of whether anything ran.
package scatter

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// Kind says why an attempt is made.
type Kind string

// The kinds of attempt.
const (
	First Kind = "first"
	Hedge Kind = "hedge"
	Retry Kind = "retry"
)

// Execution is what is known of whether an attempt ran at its leaf.
type Execution int

// The states of an execution.
const (
	Unknown Execution = iota
	NotRun
	Ran
)

// String gives the state's name for logs.
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	case Unknown:
	}
	return "unknown"
}

// Reason says why a shard has no reply.
type Reason string

// The reasons that every scatter may give; those of the balancer and the caller add to them.
const (
	Deadline   Reason = "DEADLINE"
	LeafFailed Reason = "LEAF_FAILED"
	Shed       Reason = "SHED"
	// Unneeded means that the answer went out without the shard, since enough others were in.
	Unneeded Reason = "UNNEEDED"
)

// Policy decides on hedges and retries of one shard. One policy may serve many shards.
type Policy interface {
	// FirstAttempt records that the shard is asked for a request.
	FirstAttempt()
	// HedgeDelay gives how long to wait from the newest attempt until the hedge of a stage, 0
	// being the first, and whether there is such a stage.
	HedgeDelay(stage int) (time.Duration, bool)
	// TypicalLatency is what an attempt usually takes at any leaf; 0 when that is not known.
	TypicalLatency() time.Duration
	// WorthHedging reports whether a hedge is of use to a replica that is expected to take so
	// many times the usual; 0 means that nothing is known of it.
	WorthHedging(expected float64) bool
	// AllowHedge takes a hedge from the budget.
	AllowHedge() bool
	// AllowRetry takes a retry from the budget.
	AllowRetry() bool
	// Observe records the latency of an attempt; a lower bound where it was not awaited.
	Observe(took time.Duration)
	// ObserveShed records that a leaf refused for lack of capacity.
	ObserveShed()
}

// Shard is one part of the work.
type Shard struct {
	Candidates []balancer.Candidate
	Policy     Policy
	// Spent is how many of MaximumAttempts may have been made elsewhere, without a reply: what is asked
	// from here is a repeat. It must be less than MaximumAttempts.
	Spent int
}

// Plan is the work of one request.
type Plan struct {
	Shards []Shard
	// Groups are disjoint sets of the shards, each asked as one first; see Group.
	Groups []Group
	// Refresh gives the replicas of a shard as they are now, by its index; nil keeps those of the plan. It is
	// called before each attempt that is not made at once: meanwhile a replica may have gone, or begun to
	// drain, and others may have come.
	Refresh func(shard int) []balancer.Candidate
	// Deadline is when every open shard is given up.
	Deadline time.Time
	// SoftDeadline is from when Sufficient replies are enough; zero means never.
	SoftDeadline time.Time
	// Sufficient is the least number of replies that is of use: the scatter ends as soon as so
	// many can't come any more. 0 means that any number is.
	Sufficient int
	// AtMostOnce forbids hedges, and retries without proof that the attempt did not run.
	AtMostOnce bool
	// NoHedges forbids hedges.
	NoHedges bool
	// Cautious says that leafs ended lately that worked on the same request: one is asked first, and the others once
	// a leaf has answered.
	Cautious bool
	// HeadStart is how long the first attempt goes out alone, unless a leaf answers before; 0 means not at all. The groups wait
	// with the other shards.
	HeadStart time.Duration
	// CrashedProbesLimit is after how many probes whose leaf ended the scatter is given up; 0 means never. NoProbes has it given
	// up instead of sending any: whoever asked for it knows of more shards.
	CrashedProbesLimit int
	NoProbes           bool
	// MaximumAttempts bounds the attempts of a shard that may have run.
	MaximumAttempts int
	// MaximumRefusals is how many attempts of a shard may be refused unrun beyond that.
	MaximumRefusals int
	// ReplicaWait is the pause after which a shard without a usable replica, or without room
	// in its budget, is tried again; 0 means that it is given up at once.
	ReplicaWait time.Duration
}

// Attempt is one request to one leaf for one shard.
type Attempt struct {
	// Shard is the index into the plan's shards.
	Shard int
	// Number counts the shard's attempts from 1.
	Number  int
	Kind    Kind
	Leaf    *balancer.Leaf
	Started time.Time
	// Deadline is the plan's.
	Deadline time.Time
	// Probe says that the attempt was sent in caution, alone.
	Probe bool
}

// Result is how an attempt ended.
type Result[Reply any] struct {
	// Reply is set only for a reply that may be used.
	Reply     *Reply
	Reason    Reason
	Execution Execution
	Outcome   balancer.Outcome
	// Final says that another attempt could not help, although there is no reply.
	Final bool
	// NeverArrived says that the attempt most likely did not reach the leaf, without proof
	// unless the execution says so: it does not count among those that may have run, and the
	// next one is no repeat for the leafs.
	NeverArrived bool
	// Queued says that the leaf had more attempts than slots, by its own word.
	Queued bool
	// BrokeOff says that the answer broke off, so that the leaf may have ended by the request. Ended says that it did,
	// for sure; only probes need to tell.
	BrokeOff    bool
	LeafCrashed bool
}

// Start begins one attempt without blocking. It calls done once, at the attempt's end; the
// function that it gives ends an attempt whose reply nobody waits for any more. The context is
// that of the whole work.
type Start[Reply any] func(ctx context.Context, attempt Attempt, done func(Result[Reply])) context.CancelCauseFunc

// Run runs one attempt until it ends or the context does.
type Run[Reply any] func(ctx context.Context, attempt Attempt) Result[Reply]

// InBackground starts attempts that block, each in a goroutine of its own.
func InBackground[Reply any](run Run[Reply]) Start[Reply] {
	return func(ctx context.Context, attempt Attempt, done func(Result[Reply])) context.CancelCauseFunc {
		ctx, cancel := context.WithCancelCause(ctx)
		go func() { done(run(ctx, attempt)) }()
		return cancel
	}
}

// Observer is told of attempts as they begin and end.
type Observer[Reply any] interface {
	Began(attempt Attempt)
	Ended(attempt Attempt, result Result[Reply], took time.Duration)
}

// Outcome is what became of one shard.
type Outcome[Reply any] struct {
	Reply *Reply
	// Leaf gave the reply.
	Leaf     *balancer.Leaf
	Reason   Reason
	Attempts int
}

// Summary is what is known of all attempts together.
type Summary struct {
	Ran      bool
	MaybeRan bool
	Shed     bool
	// Queued counts replies of leafs that had more attempts than slots.
	Queued    int
	Replies   int
	Groups    int
	Attempts  int
	Hedges    int
	Retries   int
	Cancelled int
	// SufficientAt is when the plan's sufficient number of replies was in; zero when it never was.
	SufficientAt time.Time
	// EndedAtSoftDeadline says that the scatter ended at or after its soft deadline, with shards open.
	EndedAtSoftDeadline bool
	// StoppedByCrashes says that the scatter was given up, since leafs may have ended by the request.
	StoppedByCrashes bool
}

// Execution gives what is known of the whole request.
func (s Summary) Execution() Execution {
	switch {
	case s.Ran:
		return Ran
	case s.MaybeRan:
		return Unknown
	}
	return NotRun
}

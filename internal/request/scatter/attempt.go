package scatter

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// Kind is the kind of an attempt.
type Kind string

const (
	First Kind = "first"
	Hedge Kind = "hedge"
	Retry Kind = "retry"
)

// Execution says whether an attempt ran on its leaf.
type Execution int

// The values of Execution. Unknown means that the attempt may have run.
const (
	Unknown Execution = iota
	NotRun
	Ran
)

// String returns the name that is used in logs.
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

// Attempt is one request to one leaf for one shard.
type Attempt struct {
	// Shard is the index into the plan's shards.
	Shard int
	// Number is the number of the attempt within its shard, counted from 1.
	Number  int
	Kind    Kind
	Leaf    *balancer.Leaf
	Started time.Time
	// Deadline is the plan's deadline.
	Deadline time.Time
	// Probe is true if the attempt was sent alone because the request may crash leafs.
	Probe bool
}

// Result is the result of an attempt.
type Result[Reply any] struct {
	// Reply is the leaf's reply; nil if there is none or it must not be used.
	Reply     *Reply
	Reason    Reason
	Execution Execution
	Outcome   balancer.Outcome
	// Final is true if there is no reply and a retry would not help.
	Final bool
	// NeverArrived is true if the attempt most likely did not reach the leaf; only an Execution of NotRun proves it.
	// Such an attempt counts as a refusal, and its retry takes no token from the retry budget.
	NeverArrived bool
	// Queued is true if the leaf reported more attempts than slots.
	Queued bool
	// ConnectionLost is true if the connection was lost during the answer, so that the request may have crashed the leaf.
	ConnectionLost bool
	// LeafCrashed is true if the leaf is known to have crashed. Only probes need to set it.
	LeafCrashed bool
}

// StartAttempt starts an attempt without blocking and calls done once, when the attempt ends. The returned function
// cancels the attempt. The context belongs to the whole request.
type StartAttempt[Reply any] func(ctx context.Context, attempt Attempt, done func(Result[Reply])) context.CancelCauseFunc

// RunAttempt runs an attempt until it ends or the context is done.
type RunAttempt[Reply any] func(ctx context.Context, attempt Attempt) Result[Reply]

// InBackground returns a StartAttempt that calls run in a new goroutine for each attempt.
func InBackground[Reply any](run RunAttempt[Reply]) StartAttempt[Reply] {
	return func(ctx context.Context, attempt Attempt, done func(Result[Reply])) context.CancelCauseFunc {
		ctx, cancel := context.WithCancelCause(ctx)
		go func() { done(run(ctx, attempt)) }()
		return cancel
	}
}

// Observer is notified when attempts start and end. The goroutine of Run calls AttemptStarted. The goroutine that ends
// the attempt, which may be another, calls AttemptEnded.
type Observer[Reply any] interface {
	AttemptStarted(attempt Attempt)
	AttemptEnded(attempt Attempt, result Result[Reply], took time.Duration)
}

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

// Execution is what is known about whether an attempt ran at its leaf.
type Execution int

// The states of an execution.
const (
	Unknown Execution = iota
	NotRun
	Ran
)

// String returns the state's name for logs.
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
	// Number counts the shard's attempts from 1.
	Number  int
	Kind    Kind
	Leaf    *balancer.Leaf
	Started time.Time
	// Deadline is the plan's.
	Deadline time.Time
	// Probe says that the attempt was sent alone because the request may crash leafs.
	Probe bool
}

// Result is how an attempt ended.
type Result[Reply any] struct {
	// Reply is set only if it may be used.
	Reply     *Reply
	Reason    Reason
	Execution Execution
	Outcome   balancer.Outcome
	// Final says that another attempt could not help, although there is no reply.
	Final bool
	// NeverArrived says that the attempt most likely did not reach the leaf, without proof
	// unless the execution says so: it does not count among those that may have run, and the
	// next one takes nothing from the retry budget.
	NeverArrived bool
	// Queued says that the leaf reported more attempts than slots.
	Queued bool
	// BrokeOff says that the answer broke off, so that the request may have crashed the leaf.
	BrokeOff bool
	// LeafCrashed says that it certainly did. Only probes need to set it.
	LeafCrashed bool
}

// StartAttempt starts one attempt without blocking and calls done once, at its end. The returned function cancels the
// attempt. The context is that of the whole request.
type StartAttempt[Reply any] func(ctx context.Context, attempt Attempt, done func(Result[Reply])) context.CancelCauseFunc

// RunAttempt runs one attempt until it ends or the context does.
type RunAttempt[Reply any] func(ctx context.Context, attempt Attempt) Result[Reply]

// InBackground runs each attempt in a goroutine of its own.
func InBackground[Reply any](run RunAttempt[Reply]) StartAttempt[Reply] {
	return func(ctx context.Context, attempt Attempt, done func(Result[Reply])) context.CancelCauseFunc {
		ctx, cancel := context.WithCancelCause(ctx)
		go func() { done(run(ctx, attempt)) }()
		return cancel
	}
}

// Observer is notified when attempts start and end.
type Observer[Reply any] interface {
	Began(attempt Attempt)
	Ended(attempt Attempt, result Result[Reply], took time.Duration)
}

package scatter

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// attemptEnd says when the leaf starts to run an attempt, when the attempt ends, and its result.
type attemptEnd struct {
	begins  time.Duration // negative if the leaf never starts to run the attempt
	ends    time.Duration
	result  Result[string]
	certain bool // the leaf reports that it did not run the attempt, or the attempt was not sent
}

// drawAttemptEnd generates an attemptEnd. Its result is NotRun only if certain is set.
func drawAttemptEnd(t *rapid.T) attemptEnd {
	millis := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(0, 40).Draw(t, label)) * time.Millisecond
	}
	ends := millis("ends")
	begins := min(millis("begins"), ends)
	switch rapid.SampledFrom([]string{"replied", "failed", "broke off", "lost", "refused", "never sent", "silent"}).Draw(t, "end") {
	case "replied":
		return attemptEnd{begins: begins, ends: ends, result: replied("x")}
	case "failed":
		return attemptEnd{begins: begins, ends: ends, result: failed(Ran)}
	case "broke off":
		return attemptEnd{begins: begins, ends: ends, result: failed(Unknown)}
	case "lost":
		return attemptEnd{begins: -1, ends: ends, result: Result[string]{Reason: LeafFailed, NeverArrived: rapid.Bool().Draw(t, "most likely")}}
	case "refused":
		return attemptEnd{begins: -1, ends: ends, certain: true, result: Result[string]{Reason: Shed, Execution: NotRun, Outcome: balancer.Shed}}
	case "never sent":
		return attemptEnd{begins: -1, ends: ends, certain: true, result: Result[string]{Reason: LeafFailed, Execution: NotRun, NeverArrived: true}}
	}
	return attemptEnd{begins: begins, ends: time.Hour, result: replied("late")}
}

// notRunCase is a request to several shards, some of which may be queried as a group.
type notRunCase struct {
	plan           Plan
	ends           []attemptEnd
	groups         []attemptEnd
	parts          []bool // whether a group that answers has all of its parts
	cancelledAfter time.Duration
	next           atomic.Int32
	hasStarted     atomic.Bool
}

func drawCase(t *rapid.T) *notRunCase {
	c := &notRunCase{cancelledAfter: time.Duration(rapid.IntRange(1, 200).Draw(t, "cancelled after")) * time.Millisecond}
	count := rapid.IntRange(1, 5).Draw(t, "shards")
	c.plan = Plan{
		Sufficient: rapid.IntRange(0, count).Draw(t, "sufficient"), AtMostOnce: rapid.Bool().Draw(t, "once"),
		MaximumAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), MaximumRefusals: rapid.IntRange(0, 2).Draw(t, "refusals"),
		Cautious: rapid.Bool().Draw(t, "cautious"), CrashedProbesLimit: rapid.IntRange(0, 2).Draw(t, "fatal"),
	}
	if rapid.Bool().Draw(t, "waits") {
		c.plan.ReplicaWait = 5 * time.Millisecond
	}
	c.plan.Shards = shards(count, &testPolicy{hedgeAfter: 10 * time.Millisecond, budget: rapid.IntRange(0, 5).Draw(t, "budget")})
	if grouped := rapid.IntRange(0, count).Draw(t, "grouped"); grouped > 0 && !c.plan.AtMostOnce {
		group := Group{}
		for shard := range grouped {
			group.Shards = append(group.Shards, shard)
		}
		c.plan.Groups = []Group{group}
		c.groups = []attemptEnd{drawAttemptEnd(t)}
		c.parts = []bool{rapid.Bool().Draw(t, "whole")}
	}
	for range count * 8 {
		c.ends = append(c.ends, drawAttemptEnd(t))
	}
	return c
}

// wait waits until an attempt ends and records whether its leaf started to run it. It returns false if the attempt was
// cancelled first.
func (c *notRunCase) wait(ctx context.Context, end attemptEnd) bool {
	began := end.begins
	if began >= 0 {
		select {
		case <-time.After(began):
			c.hasStarted.Store(true)
		case <-ctx.Done():
			return false
		}
	}
	select {
	case <-time.After(end.ends - max(began, 0)):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *notRunCase) run(ctx context.Context, _ Attempt) Result[string] {
	end := c.ends[int(c.next.Add(1)-1)%len(c.ends)]
	if c.wait(ctx, end) {
		return end.result
	}
	result := Result[string]{Reason: Unneeded, Outcome: balancer.Cancelled}
	if end.begins < 0 && end.certain {
		result.Execution = NotRun
	}
	return result
}

func (c *notRunCase) startGroup(ctx context.Context, group int, report func(GroupResult[string])) context.CancelCauseFunc {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		end := c.groups[group]
		result := GroupResult[string]{Execution: end.result.Execution, Final: c.parts[group]}
		if !c.wait(ctx, end) {
			result.Execution = Unknown
		} else if end.result.Reply != nil {
			result.Replies = make([]*string, len(c.plan.Groups[group].Shards))
			result.Replies[0] = end.result.Reply
		}
		report(result)
	}()
	return cancel
}

// execute runs the case and returns the execution that the summary reports.
func (c *notRunCase) execute(t *testing.T) (reported Execution) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), c.cancelledAfter)
		defer cancel()
		c.plan.Deadline = time.Now().Add(150 * time.Millisecond)
		work := New(c.plan, Deps[string]{
			Balancer: balancer.New(balancer.DefaultConfig(), ""), Start: InBackground(c.run), StartGroup: c.startGroup,
			Observer: &attemptRecorder{}, Superseded: errSuperseded,
		})
		_, summary := work.Run(ctx)
		reported = summary.Execution()
		cancel()
		time.Sleep(2 * time.Hour) // longer than any attempt
	})
	return reported
}

// A request that any leaf started to run is never reported as not run, for any order in which attempts, hedges, retries
// and groups start, end, are lost and are cancelled.
func TestStartedRequestIsNotReportedAsNotRun(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		c := drawCase(drawn)
		if reported := c.execute(t); reported == NotRun && c.hasStarted.Load() {
			drawn.Fatal("the request was reported as not run, but a leaf had started to run it")
		}
	})
}

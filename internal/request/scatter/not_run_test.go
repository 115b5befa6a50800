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

// drawnEnd is the course of an attempt: when its leaf starts to run it, when it ends, and what is known then.
type drawnEnd struct {
	begins  time.Duration // negative: never
	ends    time.Duration
	result  Result[string]
	certain bool // the leaf reports that it did not run the attempt, or nothing was sent
}

// drawEnd draws the course of an attempt. Its result says that it did not run only if that is certain.
func drawEnd(t *rapid.T) drawnEnd {
	millis := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(0, 40).Draw(t, label)) * time.Millisecond
	}
	ends := millis("ends")
	begins := min(millis("begins"), ends)
	switch rapid.SampledFrom([]string{"replied", "failed", "broke", "lost", "refused", "never sent", "silent"}).Draw(t, "end") {
	case "replied":
		return drawnEnd{begins: begins, ends: ends, result: replied("x")}
	case "failed":
		return drawnEnd{begins: begins, ends: ends, result: failedRun(Ran)}
	case "broke":
		return drawnEnd{begins: begins, ends: ends, result: failedRun(Unknown)}
	case "lost":
		return drawnEnd{begins: -1, ends: ends, result: Result[string]{Reason: LeafFailed, NeverArrived: rapid.Bool().Draw(t, "most likely")}}
	case "refused":
		return drawnEnd{begins: -1, ends: ends, certain: true, result: Result[string]{Reason: Shed, Execution: NotRun, Outcome: balancer.Shed}}
	case "never sent":
		return drawnEnd{begins: -1, ends: ends, certain: true, result: Result[string]{Reason: LeafFailed, Execution: NotRun, NeverArrived: true}}
	}
	return drawnEnd{begins: begins, ends: time.Hour, result: replied("late")}
}

// notRunCase is a request over some shards, some of them asked in a group.
type notRunCase struct {
	plan     Plan
	ends     []drawnEnd
	groups   []drawnEnd
	parts    []bool // whether a group that answers has all of its parts
	givesUp  time.Duration
	next     atomic.Int32
	hasBegun atomic.Bool
}

func drawCase(t *rapid.T) *notRunCase {
	c := &notRunCase{givesUp: time.Duration(rapid.IntRange(1, 200).Draw(t, "given up after")) * time.Millisecond}
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
		c.groups = []drawnEnd{drawEnd(t)}
		c.parts = []bool{rapid.Bool().Draw(t, "whole")}
	}
	for range count * 8 {
		c.ends = append(c.ends, drawEnd(t))
	}
	return c
}

// wait waits until an attempt ends, and records whether its leaf started to run it; false if it was given up before.
func (c *notRunCase) wait(ctx context.Context, end drawnEnd) bool {
	began := end.begins
	if began >= 0 {
		select {
		case <-time.After(began):
			c.hasBegun.Store(true)
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
	result := Result[string]{Reason: Unneeded, Outcome: balancer.Abandoned}
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

// execute runs a case and returns the reported execution.
func (c *notRunCase) execute(t *testing.T) (reported Execution) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), c.givesUp)
		defer cancel()
		c.plan.Deadline = time.Now().Add(150 * time.Millisecond)
		work := New(c.plan, Deps[string]{
			Balancer: balancer.New(balancer.DefaultConfig(), ""), Start: InBackground(c.run), StartGroup: c.startGroup,
			Observer: &watcher{}, Superseded: errSuperseded,
		})
		_, summary := work.Run(ctx)
		reported = summary.Execution()
		cancel()
		time.Sleep(2 * time.Hour) // until all attempts have ended
	})
	return reported
}

// A request that any leaf started to run is never reported as not run, in whatever order attempts, hedges, retries and groups
// start, end, are lost and are given up.
func TestNotRunIsTold(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		c := drawCase(drawn)
		if reported := c.execute(t); reported == NotRun && c.hasBegun.Load() {
			drawn.Fatal("reported as not run, although a leaf had started to run it")
		}
	})
}

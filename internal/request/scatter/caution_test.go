package scatter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

const (
	manyShards = 20
	workTime   = 10 * time.Millisecond
)

// broke is the result of an attempt whose answer broke off, and whether its leaf crashed.
func broke(crashed bool) Result[string] {
	return Result[string]{Reason: LeafFailed, Execution: Unknown, Outcome: balancer.Failed, BrokeOff: true, LeafCrashed: crashed}
}

func cautionPlan(policy *testPolicy) Plan {
	return Plan{
		Shards: shards(manyShards, policy), Deadline: time.Now().Add(time.Second), MaximumAttempts: 2,
		Sufficient: manyShards - 2, ReplicaWait: workTime, CrashedProbesLimit: 1,
	}
}

// probes counts the attempts that were sent alone.
func (w *watcher) probes() int {
	count := 0
	for _, attempt := range w.began {
		if attempt.Probe {
			count++
		}
	}
	return count
}

// A request that crashes every leaf costs one leaf of each shard and one more, and is then given up at once.
func TestRequestThatEndsLeafsIsGivenUpAfterAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		_, summary, watched := run(t.Context(), cautionPlan(&testPolicy{budget: 100}), func(string, Attempt) (time.Duration, Result[string]) {
			return workTime, broke(true)
		})
		is.Equal(summary.Attempts, manyShards+1)
		is.Equal(watched.probes(), 1)
		is.True(summary.StoppedByCrashes)
		is.Equal(time.Since(started), 2*workTime)
	})
}

// A request under which leafs crashed before is sent to a single leaf first.
func TestSuspectIsProbedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plan := cautionPlan(&testPolicy{budget: 100})
		plan.Cautious = true
		outcomes, summary, _ := run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) { return workTime, broke(true) })
		is.Equal(summary.Attempts, 1)
		is.Equal(outcomes[manyShards-1].Reason, LeafsCrashed)

		plan = cautionPlan(&testPolicy{budget: 100})
		plan.Cautious = true
		started := time.Now()
		_, summary, _ = run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) { return workTime, replied("well") })
		is.Equal(summary.Replies, manyShards)
		is.Equal(summary.Attempts, manyShards)
		is.Equal(time.Since(started), 2*workTime) // the others were sent with the first answer
	})
}

// The crash of one leaf delays nothing if others answer.
func TestOneLostLeafIsAskedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		_, summary, _ := run(t.Context(), cautionPlan(&testPolicy{budget: 100}), func(leaf string, _ Attempt) (time.Duration, Result[string]) {
			if leaf == "A1" {
				return time.Millisecond, broke(true)
			}
			return workTime, replied("well")
		})
		is.Equal(summary.Replies, manyShards)
		is.True(time.Since(started) <= time.Millisecond+workTime)
	})
}

// If all connections are lost at once, all shards are asked again as soon as one leaf has answered.
func TestAllConnectionsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		_, summary, _ := run(t.Context(), cautionPlan(&testPolicy{budget: 100}), func(_ string, attempt Attempt) (time.Duration, Result[string]) {
			if attempt.Kind == First {
				return time.Millisecond, broke(false)
			}
			return workTime, replied("well")
		})
		is.Equal(summary.Replies, manyShards)
		is.Equal(time.Since(started), time.Millisecond+2*workTime)
	})
}

// A probe at a silent leaf does not delay the others for long: silence is no crash.
func TestSilentProbeIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plan := cautionPlan(&testPolicy{budget: 100})
		plan.Cautious = true
		started := time.Now()
		_, summary, _ := run(t.Context(), plan, func(_ string, attempt Attempt) (time.Duration, Result[string]) {
			if attempt.Shard == 0 {
				return time.Hour, replied("never")
			}
			return workTime, replied("well")
		})
		is.True(summary.Replies >= manyShards-1)
		is.True(time.Since(started) <= time.Second)
	})
}

// A part that is gathered for another node is given up without a probe: that node knows about the other parts.
func TestPartIsGivenUpWithoutAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		plan := cautionPlan(&testPolicy{budget: 100})
		plan.NoProbes = true
		_, summary, _ := run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) { return workTime, broke(true) })
		is.Equal(summary.Attempts, manyShards)
		is.True(summary.StoppedByCrashes)
		is.Equal(time.Since(started), workTime)

		plan.Cautious = true
		_, summary, _ = run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) { return workTime, broke(true) })
		is.Equal(summary.Attempts, 0)
		is.True(summary.StoppedByCrashes)
	})
}

// The groups wait for the first attempt, too, and start with its answer; if its leaf crashes, they never do.
func TestGroupsWaitForTheFirstAttempt(t *testing.T) {
	for name, crashes := range map[string]bool{"answered": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plan := cautionPlan(&testPolicy{budget: 100})
				plan.HeadStart = 10 * workTime
				plan.Groups = []Group{{Shards: []int{1, 2, 3}}}
				began := time.Now()
				var groupAt time.Duration
				watched := &watcher{script: func(string, Attempt) (time.Duration, Result[string]) {
					if crashes {
						return workTime, broke(true)
					}
					return workTime, replied("well")
				}}
				work := New(plan, Deps[string]{
					Balancer: balancer.New(balancer.DefaultConfig(), ""), Start: InBackground(watched.run), Observer: watched, Superseded: errSuperseded,
					StartGroup: func(_ context.Context, _ int, report func(GroupResult[string])) context.CancelCauseFunc {
						groupAt = time.Since(began)
						text := "grouped"
						go report(GroupResult[string]{Replies: []*string{&text, &text, &text}})
						return func(error) {}
					},
				})
				_, summary := work.Run(t.Context())
				is.Equal(summary.StoppedByCrashes, crashes)
				if crashes {
					is.Equal(groupAt, time.Duration(0))
					is.Equal(summary.Attempts, 1)
					return
				}
				is.Equal(groupAt, workTime)
				is.Equal(summary.Replies, manyShards)
			})
		})
	}
}

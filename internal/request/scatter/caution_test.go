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

// connectionLost returns the result of an attempt whose answer was cut off; crashed says whether the leaf crashed.
func connectionLost(crashed bool) Result[string] {
	return Result[string]{Reason: LeafFailed, Execution: Unknown, Outcome: balancer.Failed, ConnectionLost: true, LeafCrashed: crashed}
}

func cautionPlan(policy *testPolicy) Plan {
	return Plan{
		Shards: shards(manyShards, policy), Deadline: time.Now().Add(time.Second), MaximumAttempts: 2,
		Sufficient: manyShards - 2, ReplicaWait: workTime, CrashedProbesLimit: 1,
	}
}

// probes counts the attempts that were sent as probes.
func (r *attemptRecorder) probes() int {
	count := 0
	for _, attempt := range r.began {
		if attempt.Probe {
			count++
		}
	}
	return count
}

// A request that crashes every leaf crashes one leaf per shard and the leaf of one probe; then the scatter stops.
func TestScatterStopsAfterACrashedProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		_, summary, recorder := run(t.Context(), cautionPlan(&testPolicy{budget: 100}), func(string, Attempt) (time.Duration, Result[string]) {
			return workTime, connectionLost(true)
		})
		is.Equal(summary.Attempts, manyShards+1)
		is.Equal(recorder.probes(), 1)
		is.True(summary.StoppedByCrashes)
		is.Equal(time.Since(started), 2*workTime)
	})
}

// A request that crashed leafs before is first sent to a single leaf.
func TestCautiousPlanStartsWithAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plan := cautionPlan(&testPolicy{budget: 100})
		plan.Cautious = true
		outcomes, summary, _ := run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) { return workTime, connectionLost(true) })
		is.Equal(summary.Attempts, 1)
		is.Equal(outcomes[manyShards-1].Reason, LeafsCrashed)

		plan = cautionPlan(&testPolicy{budget: 100})
		plan.Cautious = true
		started := time.Now()
		_, summary, _ = run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) { return workTime, replied("well") })
		is.Equal(summary.Replies, manyShards)
		is.Equal(summary.Attempts, manyShards)
		is.Equal(time.Since(started), 2*workTime) // the other attempts started when the probe was answered
	})
}

// The crash of one leaf does not delay its shard or the others if other leafs answer.
func TestOneCrashedLeafDoesNotDelayTheScatter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		_, summary, _ := run(t.Context(), cautionPlan(&testPolicy{budget: 100}), func(leaf string, _ Attempt) (time.Duration, Result[string]) {
			if leaf == "A1" {
				return time.Millisecond, connectionLost(true)
			}
			return workTime, replied("well")
		})
		is.Equal(summary.Replies, manyShards)
		is.True(time.Since(started) <= time.Millisecond+workTime)
	})
}

// If all connections are lost at once, all shards are retried as soon as one leaf has answered.
func TestAllShardsAreRetriedAfterAllConnectionsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		_, summary, _ := run(t.Context(), cautionPlan(&testPolicy{budget: 100}), func(_ string, attempt Attempt) (time.Duration, Result[string]) {
			if attempt.Kind == First {
				return time.Millisecond, connectionLost(false)
			}
			return workTime, replied("well")
		})
		is.Equal(summary.Replies, manyShards)
		is.Equal(time.Since(started), time.Millisecond+2*workTime)
	})
}

// A probe to a silent leaf does not block the other shards until the deadline: a silent leaf has not crashed.
func TestSilentProbeDoesNotBlockOtherShards(t *testing.T) {
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

// A group that is queried for another node stops without a probe: that node has more shards and sends the probes.
func TestPlanWithoutProbesStopsWithoutAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		plan := cautionPlan(&testPolicy{budget: 100})
		plan.NoProbes = true
		_, summary, _ := run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) { return workTime, connectionLost(true) })
		is.Equal(summary.Attempts, manyShards)
		is.True(summary.StoppedByCrashes)
		is.Equal(time.Since(started), workTime)

		plan.Cautious = true
		_, summary, _ = run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) { return workTime, connectionLost(true) })
		is.Equal(summary.Attempts, 0)
		is.True(summary.StoppedByCrashes)
	})
}

// Groups wait for the head start, too. They start when the first attempt is answered, and not at all if its leaf crashes.
func TestGroupsWaitForTheFirstAttempt(t *testing.T) {
	for name, crashes := range map[string]bool{"answered": false, "crashed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plan := cautionPlan(&testPolicy{budget: 100})
				plan.HeadStart = 10 * workTime
				plan.Groups = []Group{{Shards: []int{1, 2, 3}}}
				began := time.Now()
				var groupAt time.Duration
				recorder := &attemptRecorder{script: func(string, Attempt) (time.Duration, Result[string]) {
					if crashes {
						return workTime, connectionLost(true)
					}
					return workTime, replied("well")
				}}
				work := New(plan, Deps[string]{
					Balancer: balancer.New(balancer.DefaultConfig(), ""), Start: InBackground(recorder.run), Observer: recorder, Superseded: errSuperseded,
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

package scatter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

var errSuperseded = errors.New("superseded")

// testPolicy is a Policy that sends one hedge after a fixed delay; hedges and retries share one budget.
type testPolicy struct {
	hedgeAfter time.Duration
	mu         sync.Mutex
	budget     int
	useless    bool
}

func (p *testPolicy) FirstAttempt() {}
func (p *testPolicy) HedgeDelay(stage int) (time.Duration, bool) {
	return p.hedgeAfter, p.hedgeAfter > 0 && stage == 0
}
func (p *testPolicy) TypicalLatency() time.Duration { return 10 * time.Millisecond }
func (p *testPolicy) WorthHedging(float64) bool     { return !p.useless }
func (p *testPolicy) AllowHedge() bool              { return p.take() }
func (p *testPolicy) AllowRetry() bool              { return p.take() }
func (p *testPolicy) Observe(time.Duration)         {}
func (p *testPolicy) ObserveShed()                  {}
func (p *testPolicy) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget--
	return p.budget >= 0
}

// script returns the delay and the result of an attempt on a leaf.
type script func(leaf string, attempt Attempt) (time.Duration, Result[string])

// attemptRecorder runs attempts as scripted and records them; it implements Observer.
type attemptRecorder struct {
	script script
	mu     sync.Mutex
	began  []Attempt
	ended  int
}

func (r *attemptRecorder) AttemptStarted(attempt Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = append(r.began, attempt)
}

func (r *attemptRecorder) AttemptEnded(Attempt, Result[string], time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended++
}

func (r *attemptRecorder) run(ctx context.Context, attempt Attempt) Result[string] {
	delay, result := r.script(attempt.Leaf.ID, attempt)
	select {
	case <-time.After(delay):
		return result
	case <-ctx.Done():
		return Result[string]{Reason: Unneeded, Outcome: balancer.Cancelled}
	}
}

func replied(text string) Result[string] {
	return Result[string]{Reply: &text, Execution: Ran, Outcome: balancer.Succeeded}
}

func failed(execution Execution) Result[string] {
	return Result[string]{Reason: LeafFailed, Execution: execution, Outcome: balancer.Failed}
}

func shards(count int, policy Policy) []Shard {
	list := make([]Shard, count)
	for index := range list {
		name := string(rune('A' + index))
		list[index] = Shard{Candidates: []balancer.Candidate{{LeafID: name + "1"}, {LeafID: name + "2"}}, Policy: policy}
	}
	return list
}

func run(ctx context.Context, plan Plan, script script) ([]Outcome[string], Summary, *attemptRecorder) {
	recorder := &attemptRecorder{script: script}
	work := New(plan, Deps[string]{
		Balancer: balancer.New(balancer.DefaultConfig(), ""), Start: InBackground(recorder.run), Observer: recorder, Superseded: errSuperseded,
	})
	outcomes, summary := work.Run(ctx)
	return outcomes, summary, recorder
}

func TestSlowLeafIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		plan := Plan{Shards: shards(1, &testPolicy{hedgeAfter: 20 * time.Millisecond, budget: 1}), Deadline: started.Add(time.Second), MaximumAttempts: 2}
		outcomes, summary, _ := run(t.Context(), plan, func(_ string, attempt Attempt) (time.Duration, Result[string]) {
			if attempt.Kind == First {
				return 500 * time.Millisecond, replied("slow")
			}
			return 10 * time.Millisecond, replied("hedge")
		})
		is.Equal(*outcomes[0].Reply, "hedge")
		is.Equal(time.Since(started), 30*time.Millisecond)
		is.Equal(summary.Hedges, 1)
	})
}

// No hedge is sent without a token in the budget, nor to a leaf that would answer too late.
func TestHedgeIsNotSentWithoutBudgetOrBenefit(t *testing.T) {
	for name, policy := range map[string]*testPolicy{
		"no budget": {hedgeAfter: 20 * time.Millisecond}, "too late": {hedgeAfter: 20 * time.Millisecond, budget: 9, useless: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plan := Plan{Shards: shards(1, policy), Deadline: time.Now().Add(time.Second), MaximumAttempts: 2}
				outcomes, summary, _ := run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) {
					return 100 * time.Millisecond, replied("first")
				})
				is.Equal(*outcomes[0].Reply, "first")
				is.Equal(summary.Hedges, 0)
				is.True(!policy.useless || policy.budget == 9) // the useless hedge took no token
			})
		})
	}
}

// At the soft deadline, a scatter with sufficient replies ends and one with too few continues.
func TestScatterEndsAtSoftDeadlineWithSufficientReplies(t *testing.T) {
	for name, c := range map[string]struct {
		sufficient int
		took       time.Duration
		replies    int
	}{"enough": {3, 100 * time.Millisecond, 3}, "too few": {4, 300 * time.Millisecond, 4}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started := time.Now()
				plan := Plan{
					Shards: shards(4, &testPolicy{}), Deadline: started.Add(time.Second),
					SoftDeadline: started.Add(100 * time.Millisecond), Sufficient: c.sufficient, MaximumAttempts: 1,
				}
				outcomes, summary, _ := run(t.Context(), plan, func(_ string, attempt Attempt) (time.Duration, Result[string]) {
					if attempt.Shard == 0 {
						return 300 * time.Millisecond, replied("late")
					}
					return 10 * time.Millisecond, replied("soon")
				})
				is.Equal(time.Since(started), c.took)
				is.Equal(summary.Replies, c.replies)
				if c.replies == 3 {
					is.Equal(outcomes[0].Reason, Unneeded)
				}
			})
		})
	}
}

// A scatter with too many failed shards ends at once and does not wait for the remaining replies.
func TestScatterEndsOnceSufficientRepliesAreImpossible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		plan := Plan{Shards: shards(4, &testPolicy{}), Deadline: started.Add(time.Second), Sufficient: 4, MaximumAttempts: 1}
		_, summary, _ := run(t.Context(), plan, func(_ string, attempt Attempt) (time.Duration, Result[string]) {
			if attempt.Shard == 0 {
				return 5 * time.Millisecond, failed(Ran)
			}
			return 500 * time.Millisecond, replied("late")
		})
		is.Equal(time.Since(started), 5*time.Millisecond)
		is.Equal(summary.Execution(), Ran)
	})
}

// If the plan has a ReplicaWait, a shard without a token in its retry budget waits and is not settled.
func TestShardWaitsForRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		policy := &testPolicy{budget: 1}
		plan := Plan{
			Shards: shards(1, policy), Deadline: time.Now().Add(200 * time.Millisecond), Sufficient: 1,
			MaximumAttempts: 2, MaximumRefusals: 5, ReplicaWait: 10 * time.Millisecond,
		}
		_, summary, recorder := run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) {
			return time.Millisecond, Result[string]{Reason: Shed, Execution: NotRun, Outcome: balancer.Shed}
		})
		is.Equal(len(recorder.began), 2) // the first attempt and the one retry that the budget allows
		is.Equal(summary.Execution(), NotRun)
	})
}

func TestCancelledContextCancelsAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(30*time.Millisecond, cancel)
		plan := Plan{Shards: shards(3, &testPolicy{}), Deadline: started.Add(time.Second), MaximumAttempts: 1}
		_, _, recorder := run(ctx, plan, func(string, Attempt) (time.Duration, Result[string]) { return time.Minute, replied("") })
		is.Equal(time.Since(started), 30*time.Millisecond)
		synctest.Wait()
		is.Equal(recorder.ended, 3)
	})
}

// For any results of the leafs, the attempts that may have run stay within MaximumAttempts; for a request that may run at
// most once, at most one attempt may have run.
func TestAttemptsThatMayHaveRunAreBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		atMostOnce := rapid.Bool().Draw(r, "at most once")
		maximum := rapid.IntRange(1, 3).Draw(r, "attempts")
		endings := rapid.SliceOfN(rapid.IntRange(0, 3), 12, 12).Draw(r, "endings")
		synctest.Test(t, func(t *testing.T) {
			mayHaveRun, index := 0, 0
			var mu sync.Mutex
			plan := Plan{
				Shards: shards(1, &testPolicy{hedgeAfter: 5 * time.Millisecond, budget: 100}), Deadline: time.Now().Add(time.Second), Sufficient: 1,
				AtMostOnce: atMostOnce, MaximumAttempts: maximum, MaximumRefusals: 3, ReplicaWait: 10 * time.Millisecond,
			}
			run(t.Context(), plan, func(string, Attempt) (time.Duration, Result[string]) {
				mu.Lock()
				defer mu.Unlock()
				ending := endings[index%len(endings)]
				index++
				if ending != 0 {
					mayHaveRun++
				}
				return 8 * time.Millisecond, []Result[string]{failed(NotRun), failed(Unknown), failed(Ran), replied("")}[ending]
			})
			limit := maximum
			if atMostOnce {
				limit = 1
			}
			if mayHaveRun > limit {
				t.Fatalf("%d attempts may have run, limit %d", mayHaveRun, limit)
			}
		})
	})
}

// If most shards are late at the same time, their hedges are postponed, since this node may be the cause. They are sent
// if the shards stay late, as when all leafs of a zone are down.
func TestHedgesArePostponedWhenMostShardsAreLate(t *testing.T) {
	const shards, hedgeAfter = 20, 40 * time.Millisecond
	for name, c := range map[string]struct {
		late   int           // shards whose first leaf is slow
		delay  time.Duration // latency of those leafs
		hedges int
	}{
		"a few, for long":     {5, time.Second, 5},
		"most, for a moment":  {18, hedgeAfter + hedgeAfter/4, 0},
		"most, for long":      {18, time.Second, 18},
		"a few, for a moment": {5, hedgeAfter + hedgeAfter/4, 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plan := Plan{Deadline: time.Now().Add(5 * time.Second), MaximumAttempts: 2}
				for index := range shards {
					plan.Shards = append(plan.Shards, Shard{
						Candidates: []balancer.Candidate{{LeafID: fmt.Sprint(index, "a")}, {LeafID: fmt.Sprint(index, "b")}},
						Policy:     &testPolicy{hedgeAfter: hedgeAfter, budget: 1},
					})
				}
				recorder := &attemptRecorder{script: func(_ string, attempt Attempt) (time.Duration, Result[string]) {
					if attempt.Shard < c.late && attempt.Kind == First {
						return c.delay, replied("slow")
					}
					return 5 * time.Millisecond, replied("fast")
				}}
				_, summary := New(plan, Deps[string]{
					Balancer: balancer.New(balancer.DefaultConfig(), ""), Start: InBackground(recorder.run), Observer: recorder, Superseded: errSuperseded,
				}).Run(t.Context())
				is.Equal(summary.Hedges, c.hedges)
				is.Equal(summary.Replies, shards)
			})
		})
	}
}

// A retry takes no token if the previous attempt never reached its leaf; otherwise it takes one.
func TestRetryIsFreeIfThePreviousAttemptNeverArrived(t *testing.T) {
	for name, neverArrived := range map[string]bool{"never arrived": true, "arrived": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plan := Plan{
					Deadline: time.Now().Add(time.Second), MaximumAttempts: 2, MaximumRefusals: 2, ReplicaWait: 10 * time.Millisecond,
					Shards: []Shard{{Candidates: []balancer.Candidate{{LeafID: "a"}, {LeafID: "b"}, {LeafID: "c"}}, Policy: &testPolicy{}}},
				}
				tries := 0
				recorder := &attemptRecorder{script: func(string, Attempt) (time.Duration, Result[string]) {
					if tries++; tries <= 3 {
						return time.Millisecond, Result[string]{Reason: LeafFailed, Execution: Unknown, NeverArrived: neverArrived}
					}
					return time.Millisecond, replied("answer")
				}}
				outcomes, summary := New(plan, Deps[string]{
					Balancer: balancer.New(balancer.DefaultConfig(), ""), Start: InBackground(recorder.run), Observer: recorder, Superseded: errSuperseded,
				}).Run(t.Context())
				is.Equal(outcomes[0].Reply != nil, neverArrived)
				is.Equal(summary.Retries, map[bool]int{true: 3, false: 0}[neverArrived])
			})
		})
	}
}

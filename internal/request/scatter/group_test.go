package scatter

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// groupStep is a result that the attempt of a group reports after a delay.
type groupStep struct {
	after  time.Duration
	result GroupResult[string]
}

// groupScript is a fake StartGroup. It reports scripted results and records which shards have a group in flight.
type groupScript struct {
	steps [][]groupStep // by group

	mu       sync.Mutex
	inFlight map[int]bool // by shard
	causes   []error
}

func (g *groupScript) start(plan Plan) StartGroup[string] {
	g.inFlight = map[int]bool{}
	return func(ctx context.Context, group int, report func(GroupResult[string])) context.CancelCauseFunc {
		ctx, cancel := context.WithCancelCause(ctx)
		g.set(plan.Groups[group].Shards, true)
		go func() {
			for _, step := range g.steps[group] {
				select {
				case <-time.After(step.after):
					if !step.result.Partial {
						g.set(plan.Groups[group].Shards, false)
					}
					report(step.result)
				case <-ctx.Done():
					g.mu.Lock()
					g.causes = append(g.causes, context.Cause(ctx))
					g.mu.Unlock()
					return
				}
			}
		}()
		return cancel
	}
}

func (g *groupScript) set(shards []int, inFlight bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, shard := range shards {
		g.inFlight[shard] = inFlight
	}
}

func runGroups(ctx context.Context, plan Plan, groups *groupScript, script script) ([]Outcome[string], Summary, *attemptRecorder) {
	recorder := &attemptRecorder{script: script}
	work := New(plan, Deps[string]{
		Balancer: balancer.New(balancer.DefaultConfig(), ""), Start: InBackground(recorder.run), StartGroup: groups.start(plan),
		Observer: recorder, Superseded: errSuperseded,
	})
	outcomes, summary := work.Run(ctx)
	return outcomes, summary, recorder
}

func parts(texts ...string) []*string {
	replies := make([]*string, len(texts))
	for index := range texts {
		if texts[index] != "" {
			replies[index] = &texts[index]
		}
	}
	return replies
}

// attemptsByShard counts the direct attempts of a kind by shard.
func attemptsByShard(recorder *attemptRecorder, kind Kind) map[int]int {
	counts := map[int]int{}
	for _, attempt := range recorder.began {
		if attempt.Kind == kind {
			counts[attempt.Shard]++
		}
	}
	return counts
}

func directReply(string, Attempt) (time.Duration, Result[string]) {
	return 10 * time.Millisecond, replied("own")
}

const ms = time.Millisecond

// The outcomes of four shards, the last three of which are queried as a group.
func TestGroupOutcomes(t *testing.T) {
	cases := map[string]struct {
		steps   []groupStep
		want    []string // replies by shard, empty for none
		first   int      // shards with a direct first attempt
		repeats int
		soft    time.Duration
		needed  int
	}{
		"complete answer": {
			steps: []groupStep{{20 * ms, GroupResult[string]{Replies: parts("b", "c", "d")}}},
			want:  []string{"own", "b", "c", "d"}, first: 1,
		},
		"a part is missing in the final answer": {
			steps: []groupStep{{20 * ms, GroupResult[string]{Replies: parts("b", "", "d")}}},
			want:  []string{"own", "b", "", "d"}, first: 1, needed: 3,
		},
		"not run": {
			steps: []groupStep{{20 * ms, GroupResult[string]{Execution: NotRun}}},
			want:  []string{"own", "own", "own", "own"}, first: 4,
		},
		"may have run": {
			steps: []groupStep{{20 * ms, GroupResult[string]{Execution: Unknown}}},
			want:  []string{"own", "own", "own", "own"}, first: 1, repeats: 3,
		},
		"may have run, and a retry would not help": {
			steps: []groupStep{{20 * ms, GroupResult[string]{Execution: Unknown, Final: true}}},
			want:  []string{"own", "", "", ""}, first: 1, needed: 1,
		},
		"some parts, then the rest": {
			steps: []groupStep{
				{20 * ms, GroupResult[string]{Replies: parts("b", "", ""), Partial: true}},
				{30 * ms, GroupResult[string]{Replies: parts("", "c", "d")}},
			},
			want: []string{"own", "b", "c", "d"}, first: 1, soft: 25 * ms, needed: 4,
		},
		"some parts are sufficient at the soft deadline": {
			steps: []groupStep{
				{20 * ms, GroupResult[string]{Replies: parts("b", "c", ""), Partial: true}},
				{time.Hour, GroupResult[string]{Replies: parts("", "", "d")}},
			},
			want: []string{"own", "b", "c", ""}, first: 1, soft: 25 * ms, needed: 3,
		},
		"some parts, then a failure": {
			steps: []groupStep{
				{20 * ms, GroupResult[string]{Replies: parts("b", "", "d"), Partial: true}},
				{30 * ms, GroupResult[string]{Execution: Unknown}},
			},
			want: []string{"own", "b", "own", "d"}, first: 1, repeats: 1, needed: 4,
		},
		"no answer by the deadline": {
			steps: []groupStep{{time.Hour, GroupResult[string]{}}},
			want:  []string{"own", "", "", ""}, first: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plan := Plan{
					Shards: shards(4, &testPolicy{budget: 9}), Groups: []Group{{Shards: []int{1, 2, 3}}},
					Deadline: time.Now().Add(time.Second), MaximumAttempts: 2, Sufficient: c.needed,
				}
				if c.soft > 0 {
					plan.SoftDeadline = time.Now().Add(c.soft)
				}
				outcomes, summary, recorder := runGroups(t.Context(), plan, &groupScript{steps: [][]groupStep{c.steps}}, directReply)
				replies := 0
				for shard, want := range c.want {
					got := ""
					if outcomes[shard].Reply != nil {
						got = *outcomes[shard].Reply
						replies++
					}
					is.Equal(got, want)
				}
				is.Equal(summary.Replies, replies)
				is.Equal(len(attemptsByShard(recorder, First)), c.first)
				is.Equal(len(attemptsByShard(recorder, Retry)), c.repeats)
				is.True(summary.Ran)
				synctest.Wait()
			})
		})
	}
}

// A group whose answer is no longer needed is cancelled with the cause Deps.Superseded.
func TestGroupIsCancelledWhenRunReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		groups := &groupScript{steps: [][]groupStep{{{time.Hour, GroupResult[string]{}}}}}
		plan := Plan{
			Shards: shards(2, &testPolicy{}), Groups: []Group{{Shards: []int{1}}}, Sufficient: 1,
			Deadline: time.Now().Add(time.Minute), SoftDeadline: time.Now().Add(50 * ms), MaximumAttempts: 1,
		}
		_, summary, _ := runGroups(t.Context(), plan, groups, directReply)
		synctest.Wait()
		is.True(summary.EndedAtSoftDeadline)
		is.Equal(groups.causes, []error{errSuperseded})
	})
}

// A shard that its group may have queried is not queried directly without a token in the retry budget.
func TestRetryAfterAGroupTakesFromTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plan := Plan{
			Shards: shards(4, &testPolicy{budget: 1}), Groups: []Group{{Shards: []int{1, 2, 3}}},
			Deadline: time.Now().Add(time.Second), MaximumAttempts: 2,
		}
		groups := &groupScript{steps: [][]groupStep{{{20 * ms, GroupResult[string]{Execution: Unknown}}}}}
		_, summary, recorder := runGroups(t.Context(), plan, groups, directReply)
		is.Equal(len(attemptsByShard(recorder, Retry)), 1)
		is.Equal(summary.Replies, 2)
	})
}

// For any results of groups and leafs: no shard is queried directly while its group is in flight, attempts, including
// attempts that the group may have made, stay within the maximum, and Run returns by the deadline.
func TestShardIsNotQueriedWhileItsGroupIsInFlight(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := drawGroupsCase(r)
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			plan := Plan{
				Shards: shards(6, &testPolicy{budget: c.budget, hedgeAfter: 15 * ms}), Groups: []Group{{Shards: []int{0, 2}}, {Shards: []int{3, 4, 5}}},
				Deadline: began.Add(300 * ms), SoftDeadline: began.Add(80 * ms), Sufficient: c.needed, MaximumAttempts: 2,
			}
			groups := &groupScript{steps: c.steps}
			violated := false
			outcomes, summary, recorder := runGroups(t.Context(), plan, groups, func(_ string, attempt Attempt) (time.Duration, Result[string]) {
				groups.mu.Lock()
				violated = violated || groups.inFlight[attempt.Shard]
				groups.mu.Unlock()
				return c.leafDelay, c.leafResult
			})
			took := time.Since(began)
			synctest.Wait() // wait until the cancelled attempts have ended
			if violated {
				t.Fatal("a shard was queried directly while its group was in flight")
			}
			if took > 300*ms {
				t.Fatalf("Run returned after %s, later than the deadline", took)
			}
			replies := 0
			for _, outcome := range outcomes {
				if outcome.Reply != nil {
					replies++
				}
			}
			if replies != summary.Replies {
				t.Fatalf("%d outcomes have replies, but the summary counts %d", replies, summary.Replies)
			}
			for group, steps := range c.steps {
				mayHaveRun := steps[len(steps)-1].result.Execution != NotRun
				for _, shard := range plan.Groups[group].Shards {
					count := attemptsByShard(recorder, First)[shard] + attemptsByShard(recorder, Retry)[shard] + attemptsByShard(recorder, Hedge)[shard]
					if mayHaveRun && count > 1 || count > 2 {
						t.Fatalf("shard %d had %d direct attempts", shard, count)
					}
				}
			}
		})
	})
}

// groupsCase is one case of TestShardIsNotQueriedWhileItsGroupIsInFlight.
type groupsCase struct {
	steps      [][]groupStep
	budget     int
	needed     int
	leafDelay  time.Duration
	leafResult Result[string]
}

func drawGroupsCase(t *rapid.T) groupsCase {
	c := groupsCase{
		budget: rapid.IntRange(0, 8).Draw(t, "budget"), needed: rapid.IntRange(1, 6).Draw(t, "needed"),
		leafDelay: time.Duration(rapid.IntRange(1, 100).Draw(t, "leaf")) * ms, leafResult: replied("own"),
	}
	if rapid.Bool().Draw(t, "leafs fail") {
		c.leafResult = failed(Ran)
	}
	for _, size := range []int{2, 3} {
		delay := func() time.Duration { return time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * ms }
		some := func() []*string {
			texts := make([]string, size)
			for index := range texts {
				if rapid.Bool().Draw(t, "in") {
					texts[index] = "group"
				}
			}
			return parts(texts...)
		}
		var steps []groupStep
		if rapid.Bool().Draw(t, "partial") {
			steps = append(steps, groupStep{delay(), GroupResult[string]{Replies: some(), Partial: true}})
		}
		end := GroupResult[string]{Replies: some()}
		switch rapid.IntRange(0, 3).Draw(t, "end") {
		case 0:
			end = GroupResult[string]{Execution: NotRun}
		case 1:
			end = GroupResult[string]{Execution: Unknown}
		case 2:
			end = GroupResult[string]{Execution: Unknown, Final: true}
		}
		c.steps = append(c.steps, append(steps, groupStep{delay(), end}))
	}
	return c
}

// Attempts that another node may have made count toward the shard's maximum, and the next attempt is a retry that takes
// a token.
func TestSpentAttemptsCount(t *testing.T) {
	for name, c := range map[string]struct {
		spent, budget   int
		firsts, repeats int
	}{
		"nothing": {0, 0, 2, 0}, "one": {1, 2, 0, 2}, "one without a budget": {1, 0, 0, 0}, "two of three": {2, 9, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plan := Plan{Shards: shards(2, &testPolicy{budget: c.budget}), Deadline: time.Now().Add(time.Second), MaximumAttempts: 3, NoHedges: true}
				if c.spent == 1 {
					plan.MaximumAttempts = 2
				}
				for shard := range plan.Shards {
					plan.Shards[shard].Spent = c.spent
				}
				_, _, recorder := runGroups(t.Context(), plan, &groupScript{}, func(string, Attempt) (time.Duration, Result[string]) {
					return ms, replied("own")
				})
				is.Equal(len(attemptsByShard(recorder, First)), c.firsts)
				is.Equal(len(attemptsByShard(recorder, Retry)), c.repeats)
				for _, attempt := range recorder.began {
					is.Equal(attempt.Number, c.spent+1)
				}
			})
		})
	}
}

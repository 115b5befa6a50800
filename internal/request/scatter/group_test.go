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

// groupStep is one result that the attempt of a group reports, after a delay.
type groupStep struct {
	after  time.Duration
	result GroupResult[string]
}

// groupScript plays groups, and records which shards have one in flight.
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

func runGroups(ctx context.Context, plan Plan, groups *groupScript, script script) ([]Outcome[string], Summary, *watcher) {
	watched := &watcher{script: script}
	work := New(plan, Deps[string]{
		Balancer: balancer.New(balancer.DefaultConfig(), ""), Start: InBackground(watched.run), StartGroup: groups.start(plan),
		Observer: watched, Superseded: errSuperseded,
	})
	outcomes, summary := work.Run(ctx)
	return outcomes, summary, watched
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

// queried counts the attempts at leafs by shard and kind.
func queried(watched *watcher, kind Kind) map[int]int {
	counts := map[int]int{}
	for _, attempt := range watched.began {
		if attempt.Kind == kind {
			counts[attempt.Shard]++
		}
	}
	return counts
}

func ownAnswer(string, Attempt) (time.Duration, Result[string]) {
	return 10 * time.Millisecond, replied("own")
}

const ms = time.Millisecond

// The outcomes of four shards of which the last three are asked as a group.
func TestGroupOutcomes(t *testing.T) {
	cases := map[string]struct {
		steps   []groupStep
		want    []string // replies by shard, empty for none
		first   int      // first attempts at leafs
		repeats int
		soft    time.Duration
		needed  int
	}{
		"answered whole": {
			steps: []groupStep{{20 * ms, GroupResult[string]{Replies: parts("b", "c", "d")}}},
			want:  []string{"own", "b", "c", "d"}, first: 1,
		},
		"a part is missing at the end": {
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
		"may have run, and asking again is of no use": {
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
		"some parts are enough at the soft deadline": {
			steps: []groupStep{
				{20 * ms, GroupResult[string]{Replies: parts("b", "c", ""), Partial: true}},
				{time.Hour, GroupResult[string]{Replies: parts("", "", "d")}},
			},
			want: []string{"own", "b", "c", ""}, first: 1, soft: 25 * ms, needed: 3,
		},
		"some parts, then it breaks": {
			steps: []groupStep{
				{20 * ms, GroupResult[string]{Replies: parts("b", "", "d"), Partial: true}},
				{30 * ms, GroupResult[string]{Execution: Unknown}},
			},
			want: []string{"own", "b", "own", "d"}, first: 1, repeats: 1, needed: 4,
		},
		"nothing by the deadline": {
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
				outcomes, summary, watched := runGroups(t.Context(), plan, &groupScript{steps: [][]groupStep{c.steps}}, ownAnswer)
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
				is.Equal(len(queried(watched, First)), c.first)
				is.Equal(len(queried(watched, Retry)), c.repeats)
				is.True(summary.Ran)
				synctest.Wait()
			})
		})
	}
}

// A group whose answer is no longer needed is cancelled with the cause.
func TestGroupIsCancelledWithTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		groups := &groupScript{steps: [][]groupStep{{{time.Hour, GroupResult[string]{}}}}}
		plan := Plan{
			Shards: shards(2, &testPolicy{}), Groups: []Group{{Shards: []int{1}}}, Sufficient: 1,
			Deadline: time.Now().Add(time.Minute), SoftDeadline: time.Now().Add(50 * ms), MaximumAttempts: 1,
		}
		_, summary, _ := runGroups(t.Context(), plan, groups, ownAnswer)
		synctest.Wait()
		is.True(summary.EndedAtSoftDeadline)
		is.Equal(groups.causes, []error{errSuperseded})
	})
}

// Without room in the budget, leafs that another node may have asked are not asked again.
func TestRepeatOfAGroupNeedsABudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plan := Plan{
			Shards: shards(4, &testPolicy{budget: 1}), Groups: []Group{{Shards: []int{1, 2, 3}}},
			Deadline: time.Now().Add(time.Second), MaximumAttempts: 2,
		}
		groups := &groupScript{steps: [][]groupStep{{{20 * ms, GroupResult[string]{Execution: Unknown}}}}}
		_, summary, watched := runGroups(t.Context(), plan, groups, ownAnswer)
		is.Equal(len(queried(watched, Retry)), 1)
		is.Equal(summary.Replies, 2)
	})
}

// Whatever groups and leafs do: no leaf of a shard is asked while its group is in flight, nor more
// often than the route allows, counting what the group may have asked; and Run returns in time.
func TestGroupsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := drawnGroups(r)
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			plan := Plan{
				Shards: shards(6, &testPolicy{budget: draw.budget, hedgeAfter: 15 * ms}), Groups: []Group{{Shards: []int{0, 2}}, {Shards: []int{3, 4, 5}}},
				Deadline: began.Add(300 * ms), SoftDeadline: began.Add(80 * ms), Sufficient: draw.needed, MaximumAttempts: 2,
			}
			groups := &groupScript{steps: draw.steps}
			violated := false
			outcomes, summary, watched := runGroups(t.Context(), plan, groups, func(_ string, attempt Attempt) (time.Duration, Result[string]) {
				groups.mu.Lock()
				violated = violated || groups.inFlight[attempt.Shard]
				groups.mu.Unlock()
				return draw.leafDelay, draw.leafResult
			})
			took := time.Since(began)
			synctest.Wait() // for attempts that were started last
			if violated {
				t.Fatal("a leaf was asked while its group was in flight")
			}
			if took > 300*ms {
				t.Fatalf("took %s", took)
			}
			replies := 0
			for _, outcome := range outcomes {
				if outcome.Reply != nil {
					replies++
				}
			}
			if replies != summary.Replies {
				t.Fatalf("%d replies, %d counted", replies, summary.Replies)
			}
			for group, steps := range draw.steps {
				mayHaveRun := steps[len(steps)-1].result.Execution != NotRun
				for _, shard := range plan.Groups[group].Shards {
					count := queried(watched, First)[shard] + queried(watched, Retry)[shard] + queried(watched, Hedge)[shard]
					if mayHaveRun && count > 1 || count > 2 {
						t.Fatalf("shard %d was asked %d times", shard, count)
					}
				}
			}
		})
	})
}

// groupsDraw is one case of TestGroupsInAnyOrder.
type groupsDraw struct {
	steps      [][]groupStep
	budget     int
	needed     int
	leafDelay  time.Duration
	leafResult Result[string]
}

func drawnGroups(t *rapid.T) groupsDraw {
	draw := groupsDraw{
		budget: rapid.IntRange(0, 8).Draw(t, "budget"), needed: rapid.IntRange(1, 6).Draw(t, "needed"),
		leafDelay: time.Duration(rapid.IntRange(1, 100).Draw(t, "leaf")) * ms, leafResult: replied("own"),
	}
	if rapid.Bool().Draw(t, "leafs fail") {
		draw.leafResult = failedRun(Ran)
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
		draw.steps = append(draw.steps, append(steps, groupStep{delay(), end}))
	}
	return draw
}

// Attempts that may have been made elsewhere count as the shard's, and the next one is a retry
// that needs a budget.
func TestSpentAttemptsCount(t *testing.T) {
	for name, one := range map[string]struct {
		spent, budget   int
		firsts, repeats int
	}{
		"nothing": {0, 0, 2, 0}, "one": {1, 2, 0, 2}, "one without a budget": {1, 0, 0, 0}, "two of three": {2, 9, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plan := Plan{Shards: shards(2, &testPolicy{budget: one.budget}), Deadline: time.Now().Add(time.Second), MaximumAttempts: 3, NoHedges: true}
				if one.spent == 1 {
					plan.MaximumAttempts = 2
				}
				for shard := range plan.Shards {
					plan.Shards[shard].Spent = one.spent
				}
				_, _, watched := runGroups(t.Context(), plan, &groupScript{}, func(string, Attempt) (time.Duration, Result[string]) {
					return ms, replied("own")
				})
				is.Equal(len(queried(watched, First)), one.firsts)
				is.Equal(len(queried(watched, Retry)), one.repeats)
				for _, attempt := range watched.began {
					is.Equal(attempt.Number, one.spent+1)
				}
			})
		})
	}
}

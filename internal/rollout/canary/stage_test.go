package canary

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
)

// may returns for each of the versions whether a leaf of it may be sent a request now.
func may(s *Splitter) string {
	return fmt.Sprintf("%v %v", s.MaySend(leafID(before, 0)), s.MaySend(leafID(target, 0)))
}

// Without a spec only the serving version gets requests.
func TestWithoutAnOrderOneVersionServes(t *testing.T) {
	is := is.New(t)
	built := newSite(t)
	splitter := built.splitter(config(50), &one{1})
	is.Equal(decide(splitter, 100, false), 0)
	is.Equal(splitter.RetryVersions("s"), Serving)
	is.Equal(may(splitter), "true false")
	is.True(!splitter.IsCanaryOpen("s") && !splitter.MaySend("unknown"))
	is.Equal(len(splitter.budgets), 0)
}

// After the spec's duration by this node's clock the version gets nothing more, not even attempts planned before.
func TestNothingGoesToCanaryAfterTheSpecsTime(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 0)
	built.pass(lasts - 1)
	is.Equal(decide(splitter, 100, false), 8)
	is.Equal(may(splitter), "true true")
	built.pass(1)
	is.Equal(decide(splitter, 100, false), 0)
	is.Equal(may(splitter), "true false")
}

// The duration of a spec begins when a node learns of it, not with its first request.
func TestTimeBeginsWhenTheOrderIsLearnedOf(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 0)
	built.pass(lasts)
	is.Equal(decide(splitter, 100, false), 0)
}

// An aborted spec is stopped in each phase, also before it is known; another spec for the same version is not.
func TestAbortIsOfOneSpecAndStays(t *testing.T) {
	is := is.New(t)
	built, splitter, specID := started(t, 50)
	splitter.Abort("s", specID)
	is.Equal(decide(splitter, 100, false), 0)
	is.Equal(may(splitter), "true false")
	built.phase(specID, rollout.Switching)
	built.pass(time.Hour)
	is.Equal(decide(splitter, 100, false), 0)
	is.Equal(splitter.RetryVersions("s"), Serving)
	is.Equal(may(splitter), "true false")
	splitter.Abort("s", specID-1)
	is.Equal(may(splitter), "true false")

	next := built.startRollout()
	splitter.Refresh()
	is.Equal(len(splitter.aborts), 0)
	is.Equal(may(splitter), "true true")
	splitter.Abort("s", next+1)
	splitter.Refresh()
	is.Equal(may(splitter), "true false") // the one before it is replaced
	built.startRollout()
	is.Equal(decide(splitter, 100, false), 0)
}

// Aborts of services without a spec are dropped, and more than the bound are not kept.
func TestAbortsAreBounded(t *testing.T) {
	is := is.New(t)
	built, splitter, specID := started(t, 50)
	for index := range 2 * maxAborts {
		splitter.Abort(fmt.Sprint(index), specID+1)
	}
	is.Equal(len(splitter.aborts), maxAborts)
	built.put(catalog.EvacuationKey("z"), struct{}{})
	splitter.Refresh()
	is.Equal(len(splitter.aborts), 0)
}

// A spec that is withdrawn leaves the version no requests and no budget.
func TestOrderTakenBack(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 50)
	is.Equal(may(splitter), "true true")
	built.put(catalog.RolloutKey("s"), nil)
	is.Equal(may(splitter), "true false")
	is.Equal(decide(splitter, 100, false), 0)
	splitter.Refresh()
	is.Equal(len(splitter.budgets), 0)
}

// A version found good gets everything within the ramp, and the one before it nothing after that.
func TestRampMovesEverything(t *testing.T) {
	is := is.New(t)
	built, splitter, specID := started(t, 0)
	chance := 0.0
	splitter.random = func() float64 { return chance }
	built.phase(specID, rollout.Switching)
	splitter.Refresh()
	is.Equal(splitter.RetryVersions("s"), Both)
	for _, step := range []struct {
		fraction float64
		share    float64
	}{{0, 0.1}, {0.5, 0.55}, {0.9, 0.91}} {
		built.clock = splitter.budgets["s"].switchedAt.Add(time.Duration(step.fraction * float64(2*time.Second)))
		chance = step.share - 0.001
		is.Equal(splitter.Decide(Request{Service: "s"}), Decision{First: Target})
		chance = step.share + 0.001
		is.Equal(splitter.Decide(Request{Service: "s"}), Decision{})
		is.Equal(may(splitter), "true true")
	}
	built.pass(2 * time.Second)
	is.Equal(splitter.Decide(Request{Service: "s", Once: true}), Decision{First: Target})
	is.Equal(splitter.RetryVersions("s"), Target)
	is.Equal(may(splitter), "false true")
	built.pass(lasts)
	is.Equal(may(splitter), "false true") // its time only ends what is not found good
}

// In a short spec the requests move within a part of its duration.
func TestRampOfAShortSpec(t *testing.T) {
	is := is.New(t)
	built, splitter, specID := startedFor(t, 12*time.Second)
	is.Equal(splitter.Ramp(12*time.Second), 1200*time.Millisecond)
	is.Equal(splitter.Ramp(time.Hour), 2*time.Second)
	built.phase(specID, rollout.Switching)
	splitter.Refresh()
	built.pass(1199 * time.Millisecond)
	is.Equal(splitter.RetryVersions("s"), Both)
	built.pass(time.Millisecond)
	is.Equal(splitter.RetryVersions("s"), Target)
}

// While the configuration was not confirmed recently nothing goes beyond the share.
func TestSwitchLapsesWithoutConfirmation(t *testing.T) {
	is := is.New(t)
	built, splitter, specID := started(t, 0)
	built.phase(specID, rollout.Switching)
	splitter.Refresh()
	built.clock = built.clock.Add(3 * time.Second)
	is.Equal(decide(splitter, 10, false), 10)
	built.clock = built.clock.Add(config(0).ConfirmedWithin - 2500*time.Millisecond)
	is.Equal(splitter.RetryVersions("s"), Serving)
	is.Equal(decide(splitter, 50, false), 0) // of its share it had more already
	is.Equal(decide(splitter, 200, false), 260*8/100-10)
	is.Equal(may(splitter), "true true")
	built.pass(0)
	is.Equal(may(splitter), "false true")
}

// A node is settled once its ramp has ended and nothing is in flight at other versions, whenever that began.
func TestSettledOnceNothingIsUnderWay(t *testing.T) {
	is := is.New(t)
	built, splitter, specID := started(t, 0)
	splitter.AttemptStarted("s", before)
	splitter.AttemptStarted("s", target)
	is.Equal(splitter.SettledRevision(), built.known.Revision())
	switched := built.phase(specID, rollout.Switching)
	built.put(catalog.EvacuationKey("z"), struct{}{})
	is.Equal(splitter.SettledRevision(), switched-1)
	built.pass(2 * time.Second)
	is.Equal(splitter.SettledRevision(), switched-1)
	splitter.AttemptEnded("s", before)
	is.Equal(splitter.SettledRevision(), switched+1)
	built.clock = built.clock.Add(time.Minute) // lapsed: the version that served may be asked again
	is.Equal(splitter.SettledRevision(), switched-1)
	built.pass(0)
	splitter.Abort("s", specID)
	is.Equal(splitter.SettledRevision(), switched-1)
	splitter.AttemptEnded("s", target)
	is.Equal(len(splitter.inFlight.counts), 0)
}

// A leaf of a version that no rule lets serve gets nothing, be it ready, lost or only remembered.
func TestDisallowedLeafsGetNoRequests(t *testing.T) {
	is := is.New(t)
	built, splitter, specID := started(t, 0)
	built.put(catalog.SavedLeafsKey, leafset.List{Leafs: []leafset.Record{
		{Name: "old", Service: "s", Address: "127.0.0.1:1", Version: target, State: leafset.Ready},
		{Name: "other", Service: "s", Address: "127.0.0.1:1", Version: before, State: leafset.Ready},
	}})
	built.phase(specID, rollout.RolledBack)
	built.put(catalog.LeafKey(leafID(target, 1)), nil)
	built.putLeaf(target, 2, leafset.Draining)
	for _, disallowed := range []string{leafID(target, 0), leafID(target, 1), leafID(target, 2), "old"} {
		is.True(!splitter.MaySend(disallowed))
	}
	is.True(splitter.MaySend(leafID(before, 0)) && splitter.MaySend("other"))
}

// Draws go to one leaf at a time, the same on all nodes, and to each in turn.
func TestFocusGoesRound(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 0)
	leafs := built.known.View().Leafs.Canaries("s")
	seen := map[string]int{}
	for range focusTurns {
		focused := splitter.FocusOrder("s", leafs)
		is.Equal(len(focused), 3)
		is.Equal(focused[0], splitter.FocusOrder("s", leafs)[0])
		seen[focused[0].ID]++
		built.pass(lasts / focusTurns)
	}
	is.Equal(seen, map[string]int{leafID(target, 0): 4, leafID(target, 1): 4, leafID(target, 2): 4})
	is.Equal(splitter.FocusOrder("other", nil), nil)
}

// Without a canary nothing is drawn.
func TestNothingGoesToCanaryWithoutLeafs(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 0)
	for index := range 3 {
		built.put(catalog.LeafKey(leafID(target, index)), nil)
	}
	is.Equal(decide(splitter, 100, false), 0)
	built.putLeaf(target, 0, leafset.Ready)
	is.Equal(decide(splitter, 1, false), 1)
}

func TestConfigNamesEveryFault(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	var fields []string
	for _, fault := range failure.Faults(Config{Share: 2, Slack: -1, Ramp: -1}.Validate()) {
		fields = append(fields, fault.Field)
	}
	is.Equal(fields, []string{"share", "slack", "used", "ramp", "confirmed_within"})
}

// A machine that resumes does not treat the rule from before the suspension as recent.
func TestSuspendedMachineGoesByTheBoundUntilItLearns(t *testing.T) {
	is := is.New(t)
	built := newSite(t)
	clock := func() time.Time { return built.clock }
	built.known.SetClock(clock)
	built.pass(0)
	splitter := New(config(0), built.known, &one{1})
	splitter.SetClock(clock)
	specID := built.startRollout()
	splitter.Refresh()
	built.phase(specID, rollout.Switching)
	splitter.Refresh()
	built.pass(splitter.Ramp(lasts) + time.Second)
	is.Equal(splitter.stageNow("s"), moved)
	built.clock = built.clock.Add(config(0).ConfirmedWithin + time.Second) // asleep
	is.Equal(splitter.stageNow("s"), bounded)
	built.pass(0)
	is.Equal(splitter.stageNow("s"), moved)
}

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

// maySend returns MaySend for a leaf of the serving version and for a leaf of the canary.
func maySend(s *Splitter) string {
	return fmt.Sprintf("%v %v", s.MaySend(leafID(previous, 0)), s.MaySend(leafID(target, 0)))
}

// Without a spec only the serving version receives requests.
func TestWithoutSpecOnlyServingVersionGetsRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	splitter := f.splitter(config(50), &fakeFleet{1})
	is.Equal(decide(splitter, 100, false), 0)
	is.Equal(splitter.RetryRole("s"), Serving)
	is.Equal(maySend(splitter), "true false")
	is.True(!splitter.IsCanaryOpen("s") && !splitter.MaySend("unknown"))
	is.Equal(len(splitter.budgets), 0)
}

// After the spec's duration, measured by this node, the canary receives no requests, not even attempts planned earlier.
func TestNoRequestGoesToCanaryAfterSpecDuration(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 0)
	f.advance(specDuration - 1)
	is.Equal(decide(splitter, 100, false), 8)
	is.Equal(maySend(splitter), "true true")
	f.advance(1)
	is.Equal(decide(splitter, 100, false), 0)
	is.Equal(maySend(splitter), "true false")
}

// The duration of a spec begins when the node learns of it, not with the first request.
func TestDurationBeginsWhenSpecIsLearned(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 0)
	f.advance(specDuration)
	is.Equal(decide(splitter, 100, false), 0)
}

// An abort stops one spec permanently, in each phase and even if it arrives before the spec. It does not stop another
// spec for the same version.
func TestAbortStopsOneSpecPermanently(t *testing.T) {
	is := is.New(t)
	f, splitter, specID := newRollout(t, 50)
	splitter.Abort("s", specID)
	is.Equal(decide(splitter, 100, false), 0)
	is.Equal(maySend(splitter), "true false")
	f.phase(specID, rollout.PhaseSwitching)
	f.advance(time.Hour)
	is.Equal(decide(splitter, 100, false), 0)
	is.Equal(splitter.RetryRole("s"), Serving)
	is.Equal(maySend(splitter), "true false")
	splitter.Abort("s", specID-1)
	is.Equal(maySend(splitter), "true false")

	next := f.startRollout()
	splitter.Refresh()
	is.Equal(len(splitter.aborts), 0)
	is.Equal(maySend(splitter), "true true")
	splitter.Abort("s", next+1)
	splitter.Refresh()
	is.Equal(maySend(splitter), "true false") // the abort of the next spec also stops this one
	f.startRollout()
	is.Equal(decide(splitter, 100, false), 0)
}

// At most maxAborts aborts are stored, and aborts of services without a spec are dropped.
func TestAbortsAreBounded(t *testing.T) {
	is := is.New(t)
	f, splitter, specID := newRollout(t, 50)
	for index := range 2 * maxAborts {
		splitter.Abort(fmt.Sprint(index), specID+1)
	}
	is.Equal(len(splitter.aborts), maxAborts)
	f.put(catalog.EvacuationKey("z"), struct{}{})
	splitter.Refresh()
	is.Equal(len(splitter.aborts), 0)
}

// After a spec is withdrawn the canary receives no requests and its budget is dropped.
func TestWithdrawnSpecStopsCanary(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 50)
	is.Equal(maySend(splitter), "true true")
	f.put(catalog.RolloutKey("s"), nil)
	is.Equal(maySend(splitter), "true false")
	is.Equal(decide(splitter, 100, false), 0)
	splitter.Refresh()
	is.Equal(len(splitter.budgets), 0)
}

// In PhaseSwitching the canary receives all requests by the end of the ramp, and the previous version none.
func TestRampMovesAllRequests(t *testing.T) {
	is := is.New(t)
	f, splitter, specID := newRollout(t, 0)
	random := 0.0
	splitter.random = func() float64 { return random }
	f.phase(specID, rollout.PhaseSwitching)
	splitter.Refresh()
	is.Equal(splitter.RetryRole("s"), Both)
	for _, step := range []struct {
		fraction float64
		share    float64
	}{{0, 0.1}, {0.5, 0.55}, {0.9, 0.91}} {
		f.clock = splitter.budgets["s"].switchedAt.Add(time.Duration(step.fraction * float64(2*time.Second)))
		random = step.share - 0.001
		is.Equal(splitter.Decide(Request{Service: "s"}), Decision{First: Canary})
		random = step.share + 0.001
		is.Equal(splitter.Decide(Request{Service: "s"}), Decision{})
		is.Equal(maySend(splitter), "true true")
	}
	f.advance(2 * time.Second)
	is.Equal(splitter.Decide(Request{Service: "s", Once: true}), Decision{First: Canary})
	is.Equal(splitter.RetryRole("s"), Canary)
	is.Equal(maySend(splitter), "false true")
	f.advance(specDuration)
	is.Equal(maySend(splitter), "false true") // a version that passed evaluation serves beyond the spec's duration
}

// The ramp of a short spec is a fraction of its duration.
func TestRampOfShortSpec(t *testing.T) {
	is := is.New(t)
	f, splitter, specID := newRolloutFor(t, 12*time.Second)
	is.Equal(splitter.Ramp(12*time.Second), 1200*time.Millisecond)
	is.Equal(splitter.Ramp(time.Hour), 2*time.Second)
	f.phase(specID, rollout.PhaseSwitching)
	splitter.Refresh()
	f.advance(1199 * time.Millisecond)
	is.Equal(splitter.RetryRole("s"), Both)
	f.advance(time.Millisecond)
	is.Equal(splitter.RetryRole("s"), Canary)
}

// Without a recent confirmation of the configuration the canary receives no more than the share.
func TestBoundAppliesWithoutConfirmation(t *testing.T) {
	is := is.New(t)
	f, splitter, specID := newRollout(t, 0)
	f.phase(specID, rollout.PhaseSwitching)
	splitter.Refresh()
	f.clock = f.clock.Add(3 * time.Second)
	is.Equal(decide(splitter, 10, false), 10)
	f.clock = f.clock.Add(config(0).ConfirmedWithin - 2500*time.Millisecond)
	is.Equal(splitter.RetryRole("s"), Serving)
	is.Equal(decide(splitter, 50, false), 0) // the share is already exceeded
	is.Equal(decide(splitter, 200, false), 260*8/100-10)
	is.Equal(maySend(splitter), "true true")
	f.advance(0)
	is.Equal(maySend(splitter), "false true")
}

// A node is settled after its ramp when no attempt is in flight at other versions, whenever the attempt started.
func TestSettledWhenNoAttemptIsInFlight(t *testing.T) {
	is := is.New(t)
	f, splitter, specID := newRollout(t, 0)
	splitter.AttemptStarted("s", previous)
	splitter.AttemptStarted("s", target)
	is.Equal(splitter.SettledRevision(), f.catalog.Revision())
	switched := f.phase(specID, rollout.PhaseSwitching)
	f.put(catalog.EvacuationKey("z"), struct{}{})
	is.Equal(splitter.SettledRevision(), switched-1)
	f.advance(2 * time.Second)
	is.Equal(splitter.SettledRevision(), switched-1)
	splitter.AttemptEnded("s", previous)
	is.Equal(splitter.SettledRevision(), switched+1)
	f.clock = f.clock.Add(time.Minute) // not confirmed: the previous version may receive requests again
	is.Equal(splitter.SettledRevision(), switched-1)
	f.advance(0)
	splitter.Abort("s", specID)
	is.Equal(splitter.SettledRevision(), switched-1)
	splitter.AttemptEnded("s", target)
	is.Equal(len(splitter.inFlight.counts), 0)
}

// A leaf of a disallowed version receives no requests, whether it is ready, draining, lost or on the stored list.
func TestDisallowedLeafsGetNoRequests(t *testing.T) {
	is := is.New(t)
	f, splitter, specID := newRollout(t, 0)
	f.put(catalog.StoredLeafsKey, leafset.List{Leafs: []leafset.Record{
		{Name: "old", Service: "s", Address: "127.0.0.1:1", Version: target, State: leafset.Ready},
		{Name: "other", Service: "s", Address: "127.0.0.1:1", Version: previous, State: leafset.Ready},
	}})
	f.phase(specID, rollout.PhaseRolledBack)
	f.put(catalog.LeafKey(leafID(target, 1)), nil)
	f.putLeaf(target, 2, leafset.Draining)
	for _, disallowed := range []string{leafID(target, 0), leafID(target, 1), leafID(target, 2), "old"} {
		is.True(!splitter.MaySend(disallowed))
	}
	is.True(splitter.MaySend(leafID(previous, 0)) && splitter.MaySend("other"))
}

// Bounded decisions prefer one leaf at a time, the same on all nodes, and each leaf in turn.
func TestFocusRotatesOverLeafs(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 0)
	leafs := f.catalog.View().Leafs.CanaryLeafs("s")
	seen := map[string]int{}
	for range focusTurns {
		focused := splitter.FocusOrder("s", leafs)
		is.Equal(len(focused), 3)
		is.Equal(focused[0], splitter.FocusOrder("s", leafs)[0])
		seen[focused[0].ID]++
		f.advance(specDuration / focusTurns)
	}
	is.Equal(seen, map[string]int{leafID(target, 0): 4, leafID(target, 1): 4, leafID(target, 2): 4})
	is.Equal(splitter.FocusOrder("other", nil), nil)
}

// No request is decided for the canary while it has no leafs.
func TestNoRequestGoesToCanaryWithoutLeafs(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 0)
	for index := range 3 {
		f.put(catalog.LeafKey(leafID(target, index)), nil)
	}
	is.Equal(decide(splitter, 100, false), 0)
	f.putLeaf(target, 0, leafset.Ready)
	is.Equal(decide(splitter, 1, false), 1)
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	var fields []string
	for _, fault := range failure.Faults(Config{Share: 2, Slack: -1, Ramp: -1}.Validate()) {
		fields = append(fields, fault.Field)
	}
	is.Equal(fields, []string{"share", "slack", "used", "ramp", "confirmed_within"})
}

// After a suspension the configuration from before it does not count as confirmed, and the bound applies until it is
// confirmed again.
func TestBoundAppliesAfterSuspensionUntilConfirmation(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	clock := func() time.Time { return f.clock }
	f.catalog.SetClock(clock)
	f.advance(0)
	splitter := New(config(0), f.catalog, &fakeFleet{1})
	splitter.SetClock(clock)
	specID := f.startRollout()
	splitter.Refresh()
	f.phase(specID, rollout.PhaseSwitching)
	splitter.Refresh()
	f.advance(splitter.Ramp(specDuration) + time.Second)
	is.Equal(splitter.stageNow("s"), moved)
	f.clock = f.clock.Add(config(0).ConfirmedWithin + time.Second) // suspended
	is.Equal(splitter.stageNow("s"), bounded)
	f.advance(0)
	is.Equal(splitter.stageNow("s"), moved)
}

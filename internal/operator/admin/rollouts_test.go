package admin

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/rollout"
)

func newRolloutAdmin() (*Admin, *catalog.Catalog) {
	admin, cat := newTestAdmin()
	cat.EnableRollouts()
	return admin, cat
}

func startRequest(changeID string, expected int64) *adminv1.StartRolloutRequest {
	return &adminv1.StartRolloutRequest{Service: "maps", Target: "v2", DurationMillis: 60000, ChangeId: changeID, ExpectedRevision: expected}
}

// A call repeated after a lost reply must not change anything.
func TestRolloutIsStartedAndCancelled(t *testing.T) {
	is := is.New(t)
	admin, cat := newRolloutAdmin()
	started, err := admin.StartRollout(t.Context(), startRequest("c1", 0))
	is.NoErr(err)
	again, err := admin.StartRollout(t.Context(), startRequest("c1", 0))
	is.NoErr(err)
	is.Equal(again.GetRevision(), started.GetRevision())
	is.Equal(cat.View().Leafs.Rule("maps").Canary, "v2")

	shown, err := admin.GetRollout(&adminv1.GetRolloutRequest{Service: "maps"})
	is.NoErr(err)
	is.Equal(shown.GetRollout().GetOrderRevision(), started.GetRevision())
	is.Equal(shown.GetRollout().GetPhase(), adminv1.RolloutPhase_ROLLOUT_PHASE_UNSPECIFIED)
	is.Equal(len(admin.ListRollouts().GetRollouts()), 1)

	_, err = admin.CancelRollout(t.Context(), &adminv1.CancelRolloutRequest{Service: "maps", ExpectedRevision: started.GetRevision()})
	is.NoErr(err)
	is.Equal(cat.View().Leafs.Rule("maps"), rollout.Rule{})
	_, err = admin.GetRollout(&adminv1.GetRolloutRequest{Service: "maps"})
	is.True(failure.Is(err, failure.UnknownService))
}

// If several operators start a rollout at the same time, exactly one must succeed. Cancelling a replaced spec must be a
// conflict.
func TestConcurrentRolloutSpecsConflict(t *testing.T) {
	is := is.New(t)
	admin, _ := newRolloutAdmin()
	outcomes := make(chan error, 8)
	for range cap(outcomes) {
		go func() {
			_, err := admin.StartRollout(context.Background(), startRequest("", 0))
			outcomes <- err
		}()
	}
	accepted := 0
	for range cap(outcomes) {
		if err := <-outcomes; err == nil {
			accepted++
		} else {
			is.True(failure.Is(err, failure.RevisionConflict))
		}
	}
	is.Equal(accepted, 1)
	first := admin.ListRollouts().GetRollouts()[0].GetOrderRevision()
	_, err := admin.StartRollout(t.Context(), startRequest("", first))
	is.NoErr(err)
	_, err = admin.CancelRollout(t.Context(), &adminv1.CancelRolloutRequest{Service: "maps", ExpectedRevision: first})
	is.True(failure.Is(err, failure.RevisionConflict))
}

// The state of a replaced spec must not be shown as the state of the current one.
func TestStateOfReplacedSpecIsNotShown(t *testing.T) {
	is := is.New(t)
	admin, cat := newRolloutAdmin()
	started, err := admin.StartRollout(t.Context(), startRequest("", 0))
	is.NoErr(err)
	writeState(t, cat, rollout.State{Service: "maps", SpecRevision: started.GetRevision(), Phase: rollout.PhaseRolledBack, Serving: "v1", Target: "v2", Reason: "9 of 12 failed", DecidedBy: "n1"})
	shown, err := admin.GetRollout(&adminv1.GetRolloutRequest{Service: "maps"})
	is.NoErr(err)
	is.Equal(shown.GetRollout().GetPhase(), adminv1.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK)
	is.Equal(shown.GetRollout().GetReason(), "9 of 12 failed")
	is.Equal(shown.GetRollout().GetServing(), "v1")

	_, err = admin.StartRollout(t.Context(), startRequest("", started.GetRevision()))
	is.NoErr(err)
	shown, err = admin.GetRollout(&adminv1.GetRolloutRequest{Service: "maps"})
	is.NoErr(err)
	is.Equal(shown.GetRollout().GetPhase(), adminv1.RolloutPhase_ROLLOUT_PHASE_UNSPECIFIED)
	is.Equal(shown.GetRollout().GetReason(), "")
}

// writeState applies the state of a rollout to the catalog, as if an evaluator node had written it to the store.
func writeState(t *testing.T, cat *catalog.Catalog, state rollout.State) {
	t.Helper()
	document, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	value, err := catalog.NewDocument("", document, nil)
	if err != nil {
		t.Fatal(err)
	}
	entry := catalog.Entry{Key: catalog.RolloutStateKey(state.Service), Value: value, Revision: cat.Revision() + 1}
	cat.Apply(catalog.Change{Entry: entry, Previous: cat.Revision()})
}

func TestInvalidRolloutNamesField(t *testing.T) {
	is := is.New(t)
	admin, _ := newRolloutAdmin()
	_, err := admin.StartRollout(t.Context(), &adminv1.StartRolloutRequest{Target: "v2", DurationMillis: 1})
	is.Equal(failure.From(err).Field, "service")
	_, err = admin.StartRollout(t.Context(), &adminv1.StartRolloutRequest{Service: "maps", DurationMillis: 1})
	is.Equal(failure.From(err).Field, "target")
	_, err = admin.StartRollout(t.Context(), &adminv1.StartRolloutRequest{Service: "maps", Target: "v2"})
	is.Equal(failure.From(err).Field, "duration_millis")
	_, err = admin.CancelRollout(t.Context(), &adminv1.CancelRolloutRequest{Service: "maps"})
	is.Equal(failure.From(err).Field, "expected_revision")
	_, err = admin.GetRollout(&adminv1.GetRolloutRequest{})
	is.Equal(failure.From(err).Field, "service")
}

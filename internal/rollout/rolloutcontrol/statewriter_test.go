package rolloutcontrol

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/rollout"
)

// writing runs a test of one node's writes to a store that has a spec.
func writing(t *testing.T, run func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stopAll()
		f.node("n0").stop() // the test writes in its place
		time.Sleep(time.Second)
		specID := f.startRollout("s", "b", specDuration)
		view := storeView{f.store, f.node("n0")}
		states := GuardedStateWriter{Store: view, Guarded: view, RetryPause: f.cfg.RetryPause}
		run(t.Context(), is.New(t), f, states, rollout.State{Service: "s", SpecRevision: specID, Phase: rollout.Canary, Target: "b", DecidedBy: "n0"})
	})
}

func TestStateIsNotWrittenForAReplacedSpec(t *testing.T) {
	writing(t, func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State) {
		f.startRollout("s", "c", specDuration)
		_, err := states.Write(ctx, first, 0, first.SpecRevision)
		is.True(failure.Is(err, failure.RevisionConflict))
		is.Equal(len(f.store.written()), 0)
	})
}

func TestStateThatMovedOnIsNotReplaced(t *testing.T) {
	writing(t, func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State) {
		revision, err := states.Write(ctx, first, 0, first.SpecRevision)
		is.NoErr(err)
		is.True(revision > first.SpecRevision)
		other := first
		other.DecidedBy = "n1"
		_, err = states.Write(ctx, other, 0, first.SpecRevision)
		is.True(failure.Is(err, failure.RevisionConflict))
		is.Equal(len(f.store.written()), 1)
	})
}

// A write that was overwritten meanwhile is found by its change id among the earlier changes.
func TestLostAnswerOfAWriteThatWasWrittenOver(t *testing.T) {
	writing(t, func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State) {
		f.store.fail(func(m *memoryStore) { m.loseDone = 1 })
		time.AfterFunc(f.cfg.RetryPause/2, func() {
			f.store.fail(func(m *memoryStore) {
				entry := m.find(catalog.RolloutStateKey("s"))
				value, err := catalog.NewDocument("another", []byte(`{"service":"s","order_revision":1,"phase":"switching"}`), entry)
				is.NoErr(err)
				m.put(entry.Key, value)
			})
		})
		revision, err := states.Write(ctx, first, 0, first.SpecRevision)
		is.NoErr(err)
		is.Equal(revision, first.SpecRevision+1)
	})
}

// The outcome of a write is unknown, not a failure, while the store does not answer.
func TestOutcomeOfAWriteToAStoreThatIsDown(t *testing.T) {
	writing(t, func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State) {
		f.store.setDown(true)
		short, cancel := context.WithTimeout(ctx, f.cfg.WriteTimeout)
		defer cancel()
		_, err := states.Write(short, first, 0, first.SpecRevision)
		is.True(failure.Is(err, failure.OutcomeUnknown))
		f.store.setDown(false)
		_, err = states.Write(ctx, first, 0, first.SpecRevision)
		is.NoErr(err)
		is.Equal(len(f.store.written()), 1)
	})
}

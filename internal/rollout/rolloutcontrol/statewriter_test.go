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

// withStateWriter runs a test of a node's state writer on a store with a spec.
func withStateWriter(t *testing.T, run func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stopAll()
		f.node("n0").stop() // the test writes instead
		time.Sleep(time.Second)
		specID := f.startRollout("s", "b", specDuration)
		view := storeView{f.store, f.node("n0")}
		states := GuardedStateWriter{Store: view, Guarded: view, RetryPause: f.cfg.RetryPause}
		run(t.Context(), is.New(t), f, states, rollout.State{Service: "s", SpecRevision: specID, Phase: rollout.PhaseCanary, Target: "b", DecidedBy: "n0"})
	})
}

func TestStateIsNotWrittenForReplacedSpec(t *testing.T) {
	withStateWriter(t, func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State) {
		f.startRollout("s", "c", specDuration)
		_, err := states.Write(ctx, first, 0, first.SpecRevision)
		is.True(failure.Is(err, failure.RevisionConflict))
		is.Equal(len(f.store.written()), 0)
	})
}

func TestChangedStateIsNotReplaced(t *testing.T) {
	withStateWriter(t, func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State) {
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

// An overwritten write whose answer was lost is found by its change ID among the earlier changes.
func TestOverwrittenWriteWithLostAnswerIsFound(t *testing.T) {
	withStateWriter(t, func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State) {
		f.store.inject(func(m *memoryStore) { m.loseAnswers = 1 })
		time.AfterFunc(f.cfg.RetryPause/2, func() {
			f.store.inject(func(m *memoryStore) {
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

// While the store does not answer, the outcome of a write is reported as unknown.
func TestOutcomeOfWriteToUnavailableStoreIsUnknown(t *testing.T) {
	withStateWriter(t, func(ctx context.Context, is *is.I, f *fleet, states GuardedStateWriter, first rollout.State) {
		f.store.setUnavailable(true)
		short, cancel := context.WithTimeout(ctx, f.cfg.WriteTimeout)
		defer cancel()
		_, err := states.Write(short, first, 0, first.SpecRevision)
		is.True(failure.Is(err, failure.OutcomeUnknown))
		f.store.setUnavailable(false)
		_, err = states.Write(ctx, first, 0, first.SpecRevision)
		is.NoErr(err)
		is.Equal(len(f.store.written()), 1)
	})
}

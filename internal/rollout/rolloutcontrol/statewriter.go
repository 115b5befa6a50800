package rolloutcontrol

import (
	"context"
	"fmt"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/wait"
)

// StateWriter writes the state of a rollout if the stored state still has the expected revision and the spec of the
// service still has specRevision; 0 stands for a missing key. Its errors are RevisionConflict (not written),
// StoreUnavailable (not sent) and OutcomeUnknown (sent, but neither answered nor read back).
type StateWriter interface {
	Write(ctx context.Context, state rollout.State, expected, specRevision int64) (revision int64, err error)
}

// GuardedStateWriter writes states to a store. After a lost answer it reads the state back. If the state contains the
// write, the write is done. If the state has changed without it, the write lost a race. If the state is unchanged, the
// same write is sent again, which can take effect only once.
type GuardedStateWriter struct {
	// Store reads states back.
	Store store.Store
	// Guarded writes states conditionally.
	Guarded store.Guarded
	// RetryPause is the pause before a state is read back.
	RetryPause time.Duration
}

var _ StateWriter = GuardedStateWriter{}

// stateWrite is a conditional write of a state.
type stateWrite struct {
	key        string
	changeID   string
	document   json.RawMessage
	expected   int64
	conditions []store.Condition
}

// changeIDOf returns the ID of a write. Writes of the same state by the same node that replace the same revision have
// the same ID.
func changeIDOf(state rollout.State, expected int64) string {
	return fmt.Sprintf("%s/%d/%s/%d/%s", state.Service, state.SpecRevision, state.Phase, expected, state.DecidedBy)
}

func (g GuardedStateWriter) Write(ctx context.Context, state rollout.State, expected, specRevision int64) (int64, error) {
	document, err := json.Marshal(state)
	if err != nil {
		return 0, failure.Wrap(err, failure.Internal, failure.NotRun, "encode the rollout state")
	}
	write := stateWrite{
		key: catalog.RolloutStateKey(state.Service), changeID: changeIDOf(state, expected), document: document,
		expected: expected, conditions: []store.Condition{{Key: catalog.RolloutKey(state.Service), Revision: specRevision}},
	}
	return g.apply(ctx, write)
}

// apply sends a write until its outcome is known or the context is done. It does not read the current state before the
// first attempt, so that the usual case takes one call.
func (g GuardedStateWriter) apply(ctx context.Context, write stateWrite) (int64, error) {
	result, err := g.swap(ctx, write, nil)
	for err != nil {
		if !wait.For(ctx, g.RetryPause) {
			return 0, failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "the store did not confirm the write of the rollout state")
		}
		var found *catalog.Entry
		if found, err = g.Store.Get(ctx, write.key); err != nil {
			continue
		}
		if revision, done := isDone(found, write); done {
			return revision, nil
		}
		if found.LiveRevision() != write.expected {
			return 0, conflictOf(write, found)
		}
		result, err = g.swap(ctx, write, found)
	}
	if result.Swapped {
		return result.Entry.Revision, nil
	}
	if revision, done := isDone(result.Entry, write); done {
		return revision, nil
	}
	return 0, conflictOf(write, result.Entry)
}

// swap sends a write once.
func (g GuardedStateWriter) swap(ctx context.Context, write stateWrite, replaced *catalog.Entry) (store.SwapResult, error) {
	value, err := catalog.NewDocument(write.changeID, write.document, replaced)
	if err != nil {
		return store.SwapResult{}, err
	}
	return g.Guarded.CompareAndSwapIf(ctx, write.conditions, write.key, write.expected, value)
}

// isDone returns the revision of a write, and whether the entry contains it.
func isDone(entry *catalog.Entry, write stateWrite) (int64, bool) {
	if entry == nil {
		return 0, false
	}
	return catalog.FindChange(entry, write.changeID)
}

// conflictOf returns the error for a state or spec that has changed.
func conflictOf(write stateWrite, current *catalog.Entry) error {
	revision := current.LiveRevision()
	conflict := failure.New(failure.RevisionConflict, failure.NotRun, "%s is at revision %d, not %d, or its rollout spec has changed", write.key, revision, write.expected)
	conflict.CurrentRevision = revision
	return conflict
}

package configwriter

import (
	"context"
	"encoding/json"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
)

// GuardedWrite is a change of one key under conditions on other keys.
type GuardedWrite struct {
	Key      string
	Expected int64
	// Conditions must all hold when the change is made.
	Conditions []store.Condition
	ChangeID   string
	Document   json.RawMessage
}

// Validate returns an error that names every invalid field.
func (w GuardedWrite) Validate() error {
	var checks failure.Checks
	checks.Refuse(w.Key == "", "key", "must not be empty")
	checks.Refuse(w.Expected < 0, "expected", "must not be negative")
	checks.Refuse(len(w.Conditions) == 0, "conditions", "must not be empty")
	checks.Refuse(w.ChangeID == "", "change_id", "must not be empty")
	checks.Refuse(w.Document == nil, "document", "must not be empty")
	return checks.Err()
}

// ApplyGuarded writes a change like Apply. It fails with RevisionConflict if the key changed or a condition no longer
// holds. After OutcomeUnknown, the change may still take effect later, as long as the conditions hold.
func (w *Writer) ApplyGuarded(ctx context.Context, write GuardedWrite) (int64, error) {
	if w.guarded == nil {
		return 0, failure.New(failure.Internal, failure.NotRun, "the store does not support conditions on other keys")
	}
	if err := write.Validate(); err != nil {
		return 0, err
	}
	return w.Apply(ctx, Write{
		Key: write.Key, Expected: write.Expected, ChangeID: write.ChangeID, Document: write.Document,
		conditions: write.Conditions,
	})
}

// resolveGuarded determines the outcome of a guarded write that the store didn't make, from the key's entry after the
// call. If the key is unchanged, a condition no longer holds.
func resolveGuarded(write Write, current *catalog.Entry) (revision int64, resolved bool, err error) {
	if revision, resolved, err = resolve(write, current); resolved {
		return revision, true, err
	}
	failed := failure.New(failure.RevisionConflict, failure.NotRun,
		"%s was not written: one of its %d conditions no longer holds", write.Key, len(write.conditions))
	failed.CurrentRevision = current.LiveRevision()
	return 0, true, failed
}

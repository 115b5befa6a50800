// Package configwriter writes operators' changes to the store and resolves the outcome of writes whose response was lost.
//
// A write is a compare-and-swap with the revision that the operator read. The value contains a unique change ID. If the
// response is lost, the key is read back: if its value or history contains the change ID, the change was accepted; if
// another change replaced the expected revision, the write has a conflict; if the key is unchanged, the same
// compare-and-swap is sent again, which can take effect only once. A guarded write also has conditions on other keys and
// has a conflict if one of them no longer holds.
//
// A Writer keeps no state between writes. Each write is bounded by Config.TotalTimeout. Errors are of type
// failure.Failure and say whether the change may have been made.
package configwriter

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures the timeouts and retries of writes.
type Config struct {
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// TotalTimeout bounds a whole write, including retries and reads.
	TotalTimeout time.Duration `yaml:"total_timeout"`
	// RetryPause is the pause before the key is read and written again.
	RetryPause time.Duration `yaml:"retry_pause"`
}

// DefaultConfig returns settings for a store that responds within milliseconds.
func DefaultConfig() Config {
	return Config{CallTimeout: time.Second, TotalTimeout: 5 * time.Second, RetryPause: 100 * time.Millisecond}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.CallTimeout <= 0, "call_timeout", "must be positive")
	checks.Refuse(c.TotalTimeout < c.CallTimeout, "total_timeout", "must be at least call_timeout")
	checks.Refuse(c.RetryPause <= 0, "retry_pause", "must be positive")
	return checks.Err()
}

// Write is a change of one key.
type Write struct {
	Key      string
	Expected int64
	ChangeID string
	// Message or Document is the new value, depending on the kind of key. If both are nil, the key is deleted.
	Message  proto.Message
	Document json.RawMessage

	// conditions are the conditions of a guarded write.
	conditions []store.Condition
}

// removes reports whether the change deletes its key.
func (w Write) removes() bool { return w.Message == nil && w.Document == nil }

// value wraps the new value for a write that replaces an entry.
func (w Write) value(replaced *catalog.Entry) ([]byte, error) {
	if w.Document != nil {
		return catalog.NewDocument(w.ChangeID, w.Document, replaced)
	}
	return catalog.NewEnvelope(w.ChangeID, w.Message, replaced)
}

// Writer writes changes. It is safe for concurrent use.
type Writer struct {
	cfg   Config
	store store.Store
	// guarded is the store if it supports conditions on other keys, nil otherwise.
	guarded store.Guarded
}

// New returns a writer to a store. Guarded writes need a store that implements store.Guarded.
func New(cfg Config, target store.Store) *Writer {
	guarded, _ := target.(store.Guarded)
	return &Writer{cfg: cfg, store: target, guarded: guarded}
}

// Apply writes a change and returns the revision at which it was accepted. It fails with RevisionConflict if the change
// was not accepted, StoreUnavailable if nothing was sent, or OutcomeUnknown if neither a response nor a read confirmed
// the outcome; the caller may then apply the change again with the same ID. If the store rejects the write, its error is
// returned unchanged.
func (w *Writer) Apply(ctx context.Context, write Write) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.TotalTimeout)
	defer cancel()
	sent := false
	for {
		revision, resolved, err := w.attempt(ctx, write, &sent)
		if resolved {
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, w.unresolved(write, sent, err)
		case <-time.After(w.cfg.RetryPause):
		}
	}
}

// attempt reads the key and writes it once. resolved reports that the outcome is known.
func (w *Writer) attempt(ctx context.Context, write Write, sent *bool) (revision int64, resolved bool, err error) {
	current, err := w.get(ctx, write.Key)
	if err != nil {
		return 0, false, err
	}
	if revision, resolved, err = resolve(write, current); resolved {
		return revision, true, err
	}
	value, err := write.value(current)
	if err != nil {
		return 0, true, err
	}
	result, err := w.swap(ctx, write, value, sent)
	if err != nil {
		return 0, isRejected(err), err
	}
	if result.Swapped {
		return result.Entry.Revision, true, nil
	}
	if len(write.conditions) > 0 {
		return resolveGuarded(write, result.Entry)
	}
	// The key changed between the read and the write, possibly by an earlier attempt of this write. The next read
	// resolves it.
	return 0, false, nil
}

// resolve determines the outcome of a write from the key's current entry: the change was accepted, or another change
// replaced the expected revision.
func resolve(write Write, current *catalog.Entry) (revision int64, resolved bool, err error) {
	if current != nil {
		if accepted, found := catalog.FindChange(current, write.ChangeID); found {
			return accepted, true, nil
		}
	}
	if current.LiveRevision() != write.Expected {
		return 0, true, conflict(write, current)
	}
	return 0, false, nil
}

func (w *Writer) get(ctx context.Context, key string) (*catalog.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.CallTimeout)
	defer cancel()
	return w.store.Get(ctx, key)
}

func (w *Writer) swap(ctx context.Context, write Write, value []byte, sent *bool) (store.SwapResult, error) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.CallTimeout)
	defer cancel()
	*sent = true
	if len(write.conditions) > 0 {
		return w.guarded.CompareAndSwapIf(ctx, write.conditions, write.Key, write.Expected, value)
	}
	return w.store.CompareAndSwap(ctx, write.Key, write.Expected, value, write.removes())
}

// isRejected reports whether the store rejected a write permanently, so that a retry is useless.
func isRejected(err error) bool {
	rejection, isTyped := errors.AsType[*failure.Failure](err)
	return isTyped && rejection.Execution == failure.NotRun && rejection.RetryAfter == 0
}

// unresolved returns the error of a write that timed out before its outcome was known.
func (w *Writer) unresolved(write Write, sent bool, cause error) error {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	if sent {
		unknown := failure.Wrap(cause, failure.OutcomeUnknown, failure.Unknown,
			"the store did not confirm change "+write.ChangeID+"; apply it again with the same change ID")
		return unknown.WithRetryAfter(w.cfg.TotalTimeout)
	}
	unavailable := failure.Wrap(cause, failure.StoreUnavailable, failure.NotRun, "the store did not respond in time; nothing was written")
	return unavailable.WithRetryAfter(w.cfg.TotalTimeout)
}

// conflict returns the error of a write whose key doesn't have the expected revision.
func conflict(write Write, current *catalog.Entry) error {
	revision := current.LiveRevision()
	failed := failure.New(failure.RevisionConflict, failure.NotRun,
		"%s is at revision %d, not %d", write.Key, revision, write.Expected)
	failed.CurrentRevision = revision
	return failed
}

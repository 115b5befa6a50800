package configwriter

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
)

// guardedStore is a memoryStore whose writes also require that another key has a given revision.
type guardedStore struct {
	memoryStore
	guard int64
	// late are the writes without a response, which may take effect later.
	late []func()
	// writes counts the writes that reached the store. before and after are functions to run around a write, by its
	// number.
	writes        int
	before, after map[int]func()
}

func newGuardedStore(script ...fault) *guardedStore {
	return &guardedStore{memoryStore: memoryStore{applied: map[string]int{}, script: script}, guard: specRevision}
}

func (s *guardedStore) CompareAndSwapIf(ctx context.Context, conditions []store.Condition, key string, expected int64, value []byte) (store.SwapResult, error) {
	s.run(s.before)
	defer s.run(s.after)
	s.writes++
	holds := !slices.ContainsFunc(conditions, func(condition store.Condition) bool { return condition.Revision != s.guard })
	if holds {
		result, err := s.CompareAndSwap(ctx, key, expected, value, false)
		if err != nil {
			s.late = append(s.late, func() { _, _ = s.CompareAndSwap(ctx, key, expected, value, false) })
		}
		return result, err
	}
	if s.nextFault() != noFault {
		return store.SwapResult{}, errNoResponse
	}
	return store.SwapResult{Entry: s.entry}, nil
}

// run calls the function that is set for the current number of writes, if any.
func (s *guardedStore) run(due map[int]func()) {
	if act, found := due[s.writes]; found {
		act()
	}
}

const specRevision = 7

func guardedWrite(id string) GuardedWrite {
	return GuardedWrite{
		Key: "state", ChangeID: id, Document: []byte(`{}`),
		Conditions: []store.Condition{{Key: "order", Revision: specRevision}},
	}
}

func TestGuardedWriteTakesEffectOnceDespiteLoss(t *testing.T) {
	cases := map[string][]fault{
		"nothing is lost":            {},
		"the response":               {noFault, loseResponse},
		"the request":                {noFault, loseRequest},
		"the response and two reads": {noFault, loseResponse, loseResponse, loseResponse},
	}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := newGuardedStore(script...)
				revision, err := New(DefaultConfig(), target).ApplyGuarded(t.Context(), guardedWrite("a"))
				is.NoErr(err)
				is.Equal(revision, int64(1))
				is.Equal(target.applied["a"], 1)
			})
		})
	}
}

// If the spec is replaced after the response was lost, a write that took effect is reported as accepted, any other as a
// conflict.
func TestReplacedSpecResolvesLostResponse(t *testing.T) {
	for name, lost := range map[string]fault{"response lost": loseResponse, "request lost": loseRequest} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := newGuardedStore(noFault, lost)
				target.after = map[int]func(){1: func() { target.guard++ }}
				_, err := New(DefaultConfig(), target).ApplyGuarded(t.Context(), guardedWrite("a"))
				is.Equal(failure.Is(err, failure.RevisionConflict), lost == loseRequest)
				is.Equal(err == nil, lost == loseResponse)
			})
		})
	}
}

func TestGuardedWriteReportsConflict(t *testing.T) {
	cases := map[string]func(target *guardedStore){
		"the spec was replaced before": func(target *guardedStore) { target.guard++ },
		"the spec was replaced between read and write": func(target *guardedStore) {
			target.before = map[int]func(){0: func() { target.guard++ }}
		},
		"another state was written before": func(target *guardedStore) { writeOther(target) },
		"another state was written between read and write": func(target *guardedStore) {
			target.before = map[int]func(){0: func() { writeOther(target) }}
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := newGuardedStore()
				lose(target)
				_, err := New(DefaultConfig(), target).ApplyGuarded(t.Context(), guardedWrite("a"))
				is.True(failure.Is(err, failure.RevisionConflict))
				is.Equal(failure.From(err).CurrentRevision, target.entry.LiveRevision())
				is.Equal(target.applied["a"], 0)
			})
		})
	}
}

func writeOther(target *guardedStore) {
	value, err := catalog.NewDocument("other", []byte(`{}`), nil)
	if err != nil {
		panic(err) // a constant document can always be encoded
	}
	target.revision++
	target.entry = &catalog.Entry{Key: "state", Value: value, Revision: target.revision}
}

// A write that may still take effect later has an unknown outcome. When it is applied again, its outcome is found.
func TestGuardedWriteThatMayStillTakeEffectIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		script := []fault{noFault}
		for range 1000 {
			script = append(script, loseRequest)
		}
		target := newGuardedStore(script...)
		writer := New(DefaultConfig(), target)
		_, err := writer.ApplyGuarded(t.Context(), guardedWrite("a"))
		is.True(failure.Is(err, failure.OutcomeUnknown))
		target.script = nil
		target.late[0]()
		revision, err := writer.ApplyGuarded(t.Context(), guardedWrite("a"))
		is.NoErr(err)
		is.Equal(revision, int64(1))
		is.Equal(target.applied["a"], 1)
	})
}

// Whatever messages are lost, and whenever the spec is replaced, a write reported as accepted takes effect exactly once,
// and a write reported as a conflict never does.
func TestReportedOutcomesOfGuardedWritesAreCorrect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, loseRequest, loseResponse}), 0, 12).Draw(rt, "faults")
		replacedAt := rapid.IntRange(0, 8).Draw(rt, "replaced at")
		synctest.Test(t, func(*testing.T) {
			target := newGuardedStore(script...)
			target.before = map[int]func(){replacedAt: func() { target.guard++ }}
			_, err := New(DefaultConfig(), target).ApplyGuarded(context.Background(), guardedWrite("a"))
			target.script = nil
			for _, arrive := range target.late {
				if target.guard == specRevision {
					arrive()
				}
			}
			checkOutcome(rt, "a", err, target.applied["a"])
		})
	})
}

func TestInvalidGuardedWriteIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := New(DefaultConfig(), newGuardedStore()).ApplyGuarded(t.Context(), GuardedWrite{Expected: -1})
	is.Equal(len(failure.Faults(err)), 5)
	_, err = New(DefaultConfig(), &memoryStore{}).ApplyGuarded(t.Context(), guardedWrite("a"))
	is.True(failure.Is(err, failure.Internal))
}

// rejectingStore rejects every write permanently.
type rejectingStore struct{ store.Store }

func (rejectingStore) Get(context.Context, string) (*catalog.Entry, error) { return nil, nil }

func (rejectingStore) CompareAndSwap(context.Context, string, int64, []byte, bool) (store.SwapResult, error) {
	return store.SwapResult{}, failure.Invalid("key", "not for nodes to write")
}

// A write that the store rejects permanently is not retried, and is reported as not run.
func TestRejectedWriteIsReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	_, err := New(DefaultConfig(), rejectingStore{}).Apply(t.Context(), Write{Key: "k", ChangeID: "a", Document: []byte(`{}`)})
	is.True(failure.Is(err, failure.InvalidField))
	is.Equal(failure.From(err).Execution, failure.NotRun)
}

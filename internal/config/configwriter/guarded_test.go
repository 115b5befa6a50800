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

// guardedStore is a memoryStore whose writes also need another key at a revision.
type guardedStore struct {
	memoryStore
	guard int64
	// late are the writes without a reply that may take effect later.
	late []func()
	// writes counts the writes that reached the store; before and after run around the write of a number.
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
	holds := !slices.ContainsFunc(conditions, func(one store.Condition) bool { return one.Revision != s.guard })
	if holds {
		result, err := s.CompareAndSwap(ctx, key, expected, value, false)
		if err != nil {
			s.late = append(s.late, func() { _, _ = s.CompareAndSwap(ctx, key, expected, value, false) })
		}
		return result, err
	}
	if s.nextFault() != noFault {
		return store.SwapResult{}, errLost
	}
	return store.SwapResult{Entry: s.entry}, nil
}

// run runs the function that is due at the present write.
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

func TestGuardedWriteIsMadeOnceWhateverAnswerIsLost(t *testing.T) {
	cases := map[string][]fault{
		"nothing is lost":                {},
		"the answer":                     {noFault, loseReply},
		"the call":                       {noFault, loseRequest},
		"the answer and reading it back": {noFault, loseReply, loseReply, loseReply},
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

// A write made before the order was replaced is accepted although its reply was lost; a later one is a conflict.
func TestReplacedSpecSettlesALostAnswer(t *testing.T) {
	for name, lost := range map[string]fault{"done": loseReply, "not done": loseRequest} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := newGuardedStore(noFault, lost)
				target.after = map[int]func(){1: func() { target.guard++ }}
				_, err := New(DefaultConfig(), target).ApplyGuarded(t.Context(), guardedWrite("a"))
				is.Equal(failure.Is(err, failure.RevisionConflict), lost == loseRequest)
				is.Equal(err == nil, lost == loseReply)
			})
		})
	}
}

func TestGuardedWriteLosesARace(t *testing.T) {
	cases := map[string]func(target *guardedStore){
		"the order was replaced before": func(target *guardedStore) { target.guard++ },
		"the order was replaced between read and write": func(target *guardedStore) {
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
		panic(err) // a constant document can be encoded
	}
	target.revision++
	target.entry = &catalog.Entry{Key: "state", Value: value, Revision: target.revision}
}

// A write that may yet take effect while its conditions hold has an unknown outcome, and is found when applied again.
func TestGuardedWriteThatMayYetBeMadeIsUnknown(t *testing.T) {
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

// Whatever is lost, and whenever the order is replaced, a write reported as accepted takes effect once, and a write reported
// as a conflict never, then or later.
func TestGuardedWritesAreToldRightly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, loseRequest, loseReply}), 0, 12).Draw(rt, "faults")
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

func TestGuardedWriteNeedsItsParts(t *testing.T) {
	is := is.New(t)
	_, err := New(DefaultConfig(), newGuardedStore()).ApplyGuarded(t.Context(), GuardedWrite{Expected: -1})
	is.Equal(len(failure.Faults(err)), 5)
	_, err = New(DefaultConfig(), &memoryStore{}).ApplyGuarded(t.Context(), guardedWrite("a"))
	is.True(failure.Is(err, failure.Internal))
}

// refusingStore refuses every write for good.
type refusingStore struct{ store.Store }

func (refusingStore) Get(context.Context, string) (*catalog.Entry, error) { return nil, nil }

func (refusingStore) CompareAndSwap(context.Context, string, int64, []byte, bool) (store.SwapResult, error) {
	return store.SwapResult{}, failure.Invalid("key", "not for nodes to write")
}

// A write that the store refuses for good is not retried, and not reported as one that may have taken effect.
func TestRefusedWriteIsTold(t *testing.T) {
	is := is.New(t)
	_, err := New(DefaultConfig(), refusingStore{}).Apply(t.Context(), Write{Key: "k", ChangeID: "a", Document: []byte(`{}`)})
	is.True(failure.Is(err, failure.InvalidField))
	is.Equal(failure.From(err).Execution, failure.NotRun)
}

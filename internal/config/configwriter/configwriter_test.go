package configwriter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
)

var errLost = errors.New("reply lost")

// memoryStore is a store whose faults come from a script, one per call; after its end there are none.
type memoryStore struct {
	store.Store
	mutex    sync.Mutex
	entry    *catalog.Entry
	revision int64
	applied  map[string]int // how often each change id took effect
	script   []fault
}

type fault int

const (
	noFault fault = iota
	loseRequest
	loseReply
)

func (s *memoryStore) nextFault() fault {
	if len(s.script) == 0 {
		return noFault
	}
	next := s.script[0]
	s.script = s.script[1:]
	return next
}

func (s *memoryStore) Get(context.Context, string) (*catalog.Entry, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.nextFault() != noFault {
		return nil, errLost
	}
	return s.entry, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, remove bool) (store.SwapResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fault := s.nextFault()
	if fault == loseRequest {
		return store.SwapResult{}, errLost
	}
	swapped := s.entry.LiveRevision() == expected
	if swapped {
		s.revision++
		s.entry = &catalog.Entry{Key: key, Value: value, Revision: s.revision, Deleted: remove}
		envelope, err := catalog.OpenEnvelope(value)
		if err != nil {
			return store.SwapResult{}, err
		}
		s.applied[envelope.ChangeID]++
	}
	if fault == loseReply {
		return store.SwapResult{}, errLost
	}
	return store.SwapResult{Swapped: swapped, Entry: s.entry}, nil
}

// With any requests and replies lost and several operators racing, a change reported as accepted took effect once, and a
// change reported as a conflict never.
func TestWritesAreToldRightly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := &memoryStore{applied: map[string]int{}}
		target.script = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, loseRequest, loseReply}), 0, 25).Draw(t, "faults")
		config := Config{CallTimeout: time.Millisecond, TotalTimeout: 20 * time.Millisecond, RetryPause: time.Microsecond}
		operators := rapid.IntRange(1, 3).Draw(t, "operators")
		outcomes := make([]map[string]error, operators)
		var running sync.WaitGroup
		for operator := range operators {
			outcomes[operator] = map[string]error{}
			running.Go(func() {
				writer := New(config, target)
				for number := range 4 {
					target.mutex.Lock()
					seen := target.entry.LiveRevision()
					target.mutex.Unlock()
					id := fmt.Sprintf("%d/%d", operator, number)
					_, err := writer.Apply(context.Background(), Write{Key: "k", Expected: seen, ChangeID: id, Message: &adminv1.ServiceSpec{Name: id}})
					outcomes[operator][id] = err
				}
			})
		}
		running.Wait()
		for _, reported := range outcomes {
			for id, err := range reported {
				checkOutcome(t, id, err, target.applied[id])
			}
		}
	})
}

func checkOutcome(t *rapid.T, id string, err error, applied int) {
	switch {
	case err == nil && applied != 1:
		t.Fatalf("%s was reported as accepted and took effect %d times", id, applied)
	case failure.Is(err, failure.RevisionConflict) && applied != 0:
		t.Fatalf("%s was reported as conflict and took effect", id)
	case failure.Is(err, failure.StoreUnavailable) && applied != 0:
		t.Fatalf("%s was reported as unavailable and took effect", id)
	case applied > 1:
		t.Fatalf("%s took effect %d times", id, applied)
	}
}

func TestOutageIsToldByWhatWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var down []fault
		for range 1000 {
			down = append(down, loseReply)
		}
		target := &memoryStore{applied: map[string]int{}, script: down}
		write := Write{Key: "k", ChangeID: "a", Message: &adminv1.ServiceSpec{}}
		_, err := New(DefaultConfig(), target).Apply(t.Context(), write)
		is.True(failure.Is(err, failure.StoreUnavailable)) // the first read failed: nothing was sent
		is.Equal(failure.From(err).Execution, failure.NotRun)

		target = &memoryStore{applied: map[string]int{}, script: append([]fault{noFault}, down...)}
		_, err = New(DefaultConfig(), target).Apply(t.Context(), write)
		is.True(failure.Is(err, failure.OutcomeUnknown))
		is.Equal(failure.From(err).Execution, failure.Unknown)

		target.script = nil
		revision, err := New(DefaultConfig(), target).Apply(t.Context(), write)
		is.NoErr(err) // the same change id returns the first outcome
		is.Equal(revision, int64(1))
		is.Equal(target.applied["a"], 1)
	})
}

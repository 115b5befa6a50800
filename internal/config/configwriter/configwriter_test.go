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

var errNoResponse = errors.New("no response")

// memoryStore is an in-memory store with scripted faults, one per call. Calls after the end of the script succeed.
type memoryStore struct {
	store.Store
	mu       sync.Mutex
	entry    *catalog.Entry
	revision int64
	applied  map[string]int // how often each change took effect, by ID
	script   []fault
}

type fault int

const (
	noFault fault = iota
	loseRequest
	loseResponse
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault() != noFault {
		return nil, errNoResponse
	}
	return s.entry, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, remove bool) (store.SwapResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.nextFault()
	if fault == loseRequest {
		return store.SwapResult{}, errNoResponse
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
	if fault == loseResponse {
		return store.SwapResult{}, errNoResponse
	}
	return store.SwapResult{Swapped: swapped, Entry: s.entry}, nil
}

// Whatever requests and responses are lost, and however operators race, a change reported as accepted took effect exactly
// once, and a change reported as a conflict never.
func TestReportedOutcomesAreCorrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := &memoryStore{applied: map[string]int{}}
		target.script = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, loseRequest, loseResponse}), 0, 25).Draw(t, "faults")
		cfg := Config{CallTimeout: time.Millisecond, TotalTimeout: 20 * time.Millisecond, RetryPause: time.Microsecond}
		operators := rapid.IntRange(1, 3).Draw(t, "operators")
		outcomes := make([]map[string]error, operators)
		var running sync.WaitGroup
		for operator := range operators {
			outcomes[operator] = map[string]error{}
			running.Go(func() {
				writer := New(cfg, target)
				for number := range 4 {
					target.mu.Lock()
					seen := target.entry.LiveRevision()
					target.mu.Unlock()
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
		t.Fatalf("change %s was reported as accepted but took effect %d times", id, applied)
	case failure.Is(err, failure.RevisionConflict) && applied != 0:
		t.Fatalf("change %s was reported as a conflict but took effect", id)
	case failure.Is(err, failure.StoreUnavailable) && applied != 0:
		t.Fatalf("change %s was reported as not sent but took effect", id)
	case applied > 1:
		t.Fatalf("change %s took effect %d times", id, applied)
	}
}

func TestOutageErrorDependsOnWhatWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var down []fault
		for range 1000 {
			down = append(down, loseResponse)
		}
		target := &memoryStore{applied: map[string]int{}, script: down}
		write := Write{Key: "k", ChangeID: "a", Message: &adminv1.ServiceSpec{}}
		_, err := New(DefaultConfig(), target).Apply(t.Context(), write)
		is.True(failure.Is(err, failure.StoreUnavailable)) // the first read failed, so nothing was sent
		is.Equal(failure.From(err).Execution, failure.NotRun)

		target = &memoryStore{applied: map[string]int{}, script: append([]fault{noFault}, down...)}
		_, err = New(DefaultConfig(), target).Apply(t.Context(), write)
		is.True(failure.Is(err, failure.OutcomeUnknown))
		is.Equal(failure.From(err).Execution, failure.Unknown)

		target.script = nil
		revision, err := New(DefaultConfig(), target).Apply(t.Context(), write)
		is.NoErr(err) // the first outcome is returned for the same change ID
		is.Equal(revision, int64(1))
		is.Equal(target.applied["a"], 1)
	})
}

package leafhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/memorybudget"
)

const (
	testBudgetBytes = 8 << 20
	testAnswerBytes = 1 << 20
)

// newLimitedFixture returns a fixture whose leaf sends answers of testAnswerBytes, and the budget of its pool.
func newLimitedFixture(t *testing.T) (*fixture, *memorybudget.Budget) {
	f := newFixture(t, testConfig(), ok(string(bytes.Repeat([]byte("b"), testAnswerBytes))))
	return f, f.limitMemory()
}

// limitMemory gives the pool a budget of testBudgetBytes.
func (f *fixture) limitMemory() *memorybudget.Budget {
	budget := memorybudget.Config{LimitBytes: 1 << 40, RequestBytes: testBudgetBytes}.NewRequests(nil)
	f.pool.SetMemory(budget)
	return budget
}

// targetOf returns a target for one of many leafs at the fixture's address.
func (f *fixture) targetOf(leafID string) Target {
	target := f.target()
	target.LeafID, target.Name = leafID, f.leaf.ID
	return target
}

// TestManyLargeAnswersStayWithinBudget guards against answers that are within their limit, but together fill the memory of
// a node. Those that don't fit are refused at once with a typed error; the leaf may have run their requests.
func TestManyLargeAnswersStayWithinBudget(t *testing.T) {
	is := is.New(t)
	f, budget := newLimitedFixture(t)
	var hold memorybudget.Hold
	var mu sync.Mutex
	var attempts sync.WaitGroup
	answered, refused := 0, 0
	for number := range 24 {
		attempts.Go(func() {
			request := f.request()
			request.Memory = &hold
			response, err := f.runAttempt(t.Context(), f.targetOf(fmt.Sprint("leaf-", number%4)), request, f.deadline())
			mu.Lock()
			defer mu.Unlock()
			if err == nil && len(response.Body) == testAnswerBytes {
				answered++
				return
			}
			var exceeded *memorybudget.ExceededError
			var broken *BrokenAnswerError
			if errors.As(err, &exceeded) && errors.As(err, &broken) {
				refused++
			}
		})
	}
	attempts.Wait()
	is.Equal(answered+refused, 24)
	is.True(answered >= 4)
	is.True(int64(answered)*testAnswerBytes <= testBudgetBytes)
	is.True(budget.Held() <= testBudgetBytes)
	hold.Release()
	is.Equal(budget.Held(), int64(0))
	_, err := f.do(t.Context(), f.request())
	is.NoErr(err)
}

// TestAnswersOfOneLeafLeaveRoomForOthers guards against a leaf whose answers, each within its limit, take the memory for
// the answers of sound leafs.
func TestAnswersOfOneLeafLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	f, _ := newLimitedFixture(t)
	var hold memorybudget.Hold
	attempt := func(leafID string) error {
		request := f.request()
		request.Memory = &hold
		_, err := f.runAttempt(t.Context(), f.targetOf(leafID), request, f.deadline())
		return err
	}
	accepted := 0
	for ; attempt("bad") == nil; accepted++ {
	}
	is.True(accepted <= testBudgetBytes/testAnswerBytes/2)
	is.NoErr(attempt("sound"))
}

// An answer that nobody awaits any more holds no memory.
func TestMemoryOfCancelledAnswerIsReleased(t *testing.T) {
	is := is.New(t)
	arrived, proceed := make(chan struct{}, 1), make(chan struct{})
	f := newFixture(t, testConfig(), func(httpleaf.Request) httpleaf.Answer {
		arrived <- struct{}{}
		<-proceed
		return httpleaf.Answer{Body: make([]byte, testAnswerBytes)}
	})
	budget := f.limitMemory()
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-arrived
		cancel(ErrSuperseded)
		close(proceed)
	}()
	var hold memorybudget.Hold
	request := f.request()
	request.Memory = &hold
	hold.Release() // the request ends before the answer arrives
	_, _ = f.runAttempt(ctx, f.target(), request, f.deadline())
	for end := time.Now().Add(10 * time.Second); budget.Held() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(budget.Held(), int64(0))
}

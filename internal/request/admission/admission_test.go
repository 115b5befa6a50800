package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
)

func TestConcurrencyStaysWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := NewGate(Limits{Concurrency: 5, Queue: 100})
		var running, most, done atomic.Int64
		var queries sync.WaitGroup
		for range 50 {
			queries.Go(func() {
				ticket, err := gate.Enter(t.Context(), time.Now().Add(time.Hour))
				if err != nil {
					return
				}
				most.Store(max(most.Load(), running.Add(1)))
				time.Sleep(10 * time.Millisecond)
				running.Add(-1)
				done.Add(1)
				ticket.Done(false)
			})
		}
		queries.Wait()
		is.Equal(most.Load(), int64(5))
		is.Equal(done.Load(), int64(50))
		is.Equal(gate.Usage().Running, 0)
	})
}

func TestQueryThatCannotFinishIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := NewGate(Limits{Concurrency: 1, Queue: 100})
		for range 200 { // the average service time approaches 50 ms
			ticket, err := gate.Enter(t.Context(), time.Now().Add(time.Hour))
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			ticket.Done(false)
		}
		_, err := gate.Enter(t.Context(), time.Now().Add(time.Hour))
		is.NoErr(err)
		began := time.Now()
		_, err = gate.Enter(t.Context(), time.Now().Add(60*time.Millisecond))
		is.True(failure.Is(err, failure.Overloaded))
		is.Equal(time.Since(began), time.Duration(0)) // the query was refused without waiting
		is.Equal(failure.From(err).Execution, failure.NotRun)
		is.True(failure.From(err).RetryAfter > 0)
	})
}

func TestFullQueueRefusesQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := NewGate(Limits{Concurrency: 1, Queue: 1})
		ticket, err := gate.Enter(t.Context(), time.Now().Add(time.Hour))
		is.NoErr(err)
		waited := make(chan error, 1)
		go func() {
			second, err := gate.Enter(t.Context(), time.Now().Add(time.Hour))
			if err == nil {
				second.Done(false)
			}
			waited <- err
		}()
		synctest.Wait()
		_, err = gate.Enter(t.Context(), time.Now().Add(time.Hour))
		is.True(failure.Is(err, failure.Overloaded))
		ticket.Done(false)
		is.NoErr(<-waited)
	})
}

func TestCancelledQueryLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := NewGate(Limits{Concurrency: 1, Queue: 5})
		ticket, err := gate.Enter(t.Context(), time.Now().Add(time.Hour))
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		refused := make(chan error, 1)
		go func() {
			_, err := gate.Enter(ctx, time.Now().Add(time.Hour))
			refused <- err
		}()
		synctest.Wait()
		cancel()
		err = <-refused
		is.True(failure.Is(err, failure.Cancelled))
		is.Equal(failure.From(err).Execution, failure.NotRun)
		ticket.Done(false)
		is.Equal(gate.Usage(), Usage{LimitInUse: 1})
	})
}

func TestCongestionLowersAndSuccessRaisesTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := NewGate(Limits{Concurrency: 40, Queue: 100})
		round := func(congested bool) {
			var tickets []*Ticket
			for range 40 {
				if ticket, err := gate.Enter(t.Context(), time.Now().Add(time.Millisecond)); err == nil {
					tickets = append(tickets, ticket)
				}
			}
			time.Sleep(150 * time.Millisecond)
			for _, ticket := range tickets {
				ticket.Done(congested)
			}
		}
		for range 10 {
			round(true)
		}
		lowered := gate.Usage().LimitInUse
		is.True(lowered < 30)
		for range 100 {
			round(false)
		}
		is.Equal(gate.Usage().LimitInUse, 40)
	})
}

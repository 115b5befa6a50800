// Package admission decides whether a node starts a query, queues it, or refuses it.
//
// Each service has a concurrency limit and a bounded queue on each node. A query that can't finish in its remaining time
// is refused at once, with the time after which the caller may retry, rather than kept waiting. The limit in use moves
// below the operator's while leafs shed load, and back up when they don't.
//
// A Gate owns the counts, the queue and the limit in use of one service on one node. Times are by the runtime's clock. It
// starts no goroutines. Refusals are failure.Failure errors with the code Overloaded, or Cancelled if the caller went
// away; both say that the query did not run.
package admission

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Limits are a service's limits on one node.
type Limits struct {
	// Concurrency is the maximum number of queries that run at once.
	Concurrency int
	// Queue is the maximum number of queries that wait.
	Queue int
}

// Gate admits the queries of one service on one node. It is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	limits      Limits
	limitInUse  float64 // queries; between 1 and limits.Concurrency
	running     int
	waiting     list.List // of *waiter, in order of arrival
	serviceTime float64   // moving average in seconds
	reducedAt   time.Time
}

// waiter is a query in the queue.
type waiter struct {
	admitted chan struct{}
	refused  chan struct{} // closed when it can't finish in time any more
	deadline time.Time
}

// NewGate returns a gate.
func NewGate(limits Limits) *Gate {
	return &Gate{limits: limits, limitInUse: float64(limits.Concurrency)}
}

// Ticket is the place of an admitted query; Done must be called once.
type Ticket struct {
	gate    *Gate
	started time.Time
}

// Usage is the state of a gate.
type Usage struct {
	Running    int
	Waiting    int
	LimitInUse int
}

// Usage returns the gate's state.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Running: g.running, Waiting: g.waiting.Len(), LimitInUse: int(g.limitInUse)}
}

// Enter admits the query, at once or after a wait, or refuses it.
//
// Rule: it is admitted at once if fewer queries run than the limit in use and none waits. Otherwise it is refused at once
// (see refuse) or waits, until it is admitted, its wait has become too long, or its caller goes away.
func (g *Gate) Enter(ctx context.Context, deadline time.Time) (*Ticket, error) {
	g.mu.Lock()
	if g.running < int(g.limitInUse) && g.waiting.Len() == 0 {
		g.running++
		g.mu.Unlock()
		return &Ticket{gate: g, started: time.Now()}, nil
	}
	wait := g.expectedWait(g.waiting.Len())
	if refused := g.refuse(wait, deadline); refused != nil {
		g.mu.Unlock()
		return nil, refused
	}
	place := &waiter{admitted: make(chan struct{}), refused: make(chan struct{}), deadline: deadline}
	element := g.waiting.PushBack(place)
	g.mu.Unlock()
	return g.wait(ctx, deadline, place, element)
}

// minimumRetryAfter is the minimum time after which a refused caller may retry.
const minimumRetryAfter = 20 * time.Millisecond

// refuse returns the failure of a query that is refused without waiting; nil if it may wait. The mutex must be held.
//
// Inputs: the expected wait, the query's deadline, the length of the queue, and the time that a query needs.
//
// Rule: it is refused as Overloaded if the queue is full, or if its deadline leaves less than the expected wait plus the
// time that it needs. The caller may retry after the expected wait, at least minimumRetryAfter.
func (g *Gate) refuse(wait time.Duration, deadline time.Time) error {
	retryAfter := max(wait, minimumRetryAfter)
	if g.waiting.Len() >= g.limits.Queue {
		return failure.New(failure.Overloaded, failure.NotRun, "%d queries run and %d wait", g.running, g.waiting.Len()).WithRetryAfter(retryAfter)
	}
	if time.Until(deadline) < wait+g.needed() {
		return failure.New(failure.Overloaded, failure.NotRun, "the expected wait of %v leaves too little time", wait).WithRetryAfter(retryAfter)
	}
	return nil
}

// wait waits until a query in the queue is admitted or must leave it.
func (g *Gate) wait(ctx context.Context, deadline time.Time, place *waiter, element *list.Element) (*Ticket, error) {
	g.mu.Lock()
	latestStart := deadline.Add(-g.needed())
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(latestStart))
	defer timer.Stop()
	select {
	case <-place.admitted:
		return &Ticket{gate: g, started: time.Now()}, nil
	case <-place.refused:
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-place.admitted:
		return &Ticket{gate: g, started: time.Now()}, nil
	default:
	}
	g.waiting.Remove(element)
	if ctx.Err() != nil {
		return nil, failure.New(failure.Cancelled, failure.NotRun, "the caller went away while the query waited")
	}
	retryAfter := max(g.expectedWait(g.waiting.Len()), minimumRetryAfter)
	return nil, failure.New(failure.Overloaded, failure.NotRun, "no place became free in time").WithRetryAfter(retryAfter)
}

// Done releases the place. Congested says that leafs shed load during the query.
func (t *Ticket) Done(congested bool) {
	g := t.gate
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.serviceTime += serviceTimeWeight * (now.Sub(t.started).Seconds() - g.serviceTime)
	if congested {
		g.reduceLimit(now)
	} else {
		g.raiseLimit()
	}
	g.admitWaiting()
	g.refuseHopeless(now)
}

// admitWaiting admits queries from the front of the queue. The mutex must be held.
func (g *Gate) admitWaiting() {
	for g.running < int(g.limitInUse) && g.waiting.Len() > 0 {
		place := g.waiting.Remove(g.waiting.Front()).(*waiter)
		g.running++
		close(place.admitted)
	}
}

// refuseHopeless refuses queries from the end of the queue whose expected wait has become too long for
// their deadline, as when the limit in use was reduced. The mutex must be held.
func (g *Gate) refuseHopeless(now time.Time) {
	for g.waiting.Len() > 0 {
		last := g.waiting.Back()
		place := last.Value.(*waiter)
		if now.Add(g.expectedWait(g.waiting.Len() - 1)).Add(g.needed()).Before(place.deadline) {
			return
		}
		g.waiting.Remove(last)
		close(place.refused)
	}
}

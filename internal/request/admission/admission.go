// Package admission decides whether a node starts a query, queues it, or refuses it.
//
// Each service has a concurrency limit and a bounded queue on each node. A query that can't finish before its deadline is
// refused at once, with the time after which the caller may retry, instead of being queued. The limit in use is reduced
// below the operator's limit while leafs shed load, and raised again when they don't.
//
// A Gate owns the counts, the queue and the limit in use of one service on one node. Times are read from the runtime's
// clock. It starts no goroutines. Refusals are failure.Failure errors with the code Overloaded, or Cancelled if the
// caller cancelled the query; both say that the query did not run.
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
	// Concurrency is the maximum number of queries that run at the same time.
	Concurrency int
	// Queue is the maximum number of queued queries.
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
	refused  chan struct{} // closed when the query can no longer finish before its deadline
	deadline time.Time
}

func NewGate(limits Limits) *Gate {
	return &Gate{limits: limits, limitInUse: float64(limits.Concurrency)}
}

// Ticket represents an admitted query. Done must be called once, when the query ends.
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

// Enter admits a query immediately if fewer queries run than the limit in use allows and none is queued. Otherwise it
// refuses the query (see refuse) or queues it until it is admitted, can no longer finish before its deadline, or its
// context is done.
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
	queued := &waiter{admitted: make(chan struct{}), refused: make(chan struct{}), deadline: deadline}
	element := g.waiting.PushBack(queued)
	g.mu.Unlock()
	return g.wait(ctx, deadline, queued, element)
}

// minimumRetryAfter is the minimum time before the caller of a refused query may retry.
const minimumRetryAfter = 20 * time.Millisecond

// refuse returns the failure of a query that is refused immediately, or nil if the query may be queued. It is refused
// as Overloaded if the queue is full, or if the time until its deadline is less than the expected wait plus the time
// that a query needs. The caller may retry after the expected wait, at least minimumRetryAfter. g.mu must be held.
func (g *Gate) refuse(wait time.Duration, deadline time.Time) error {
	retryAfter := max(wait, minimumRetryAfter)
	if g.waiting.Len() >= g.limits.Queue {
		return failure.New(failure.Overloaded, failure.NotRun, "the queue is full: %d queries run and %d wait", g.running, g.waiting.Len()).WithRetryAfter(retryAfter)
	}
	if time.Until(deadline) < wait+g.neededTime() {
		return failure.New(failure.Overloaded, failure.NotRun, "the expected wait of %v leaves too little time until the deadline", wait).WithRetryAfter(retryAfter)
	}
	return nil
}

// wait waits until a queued query is admitted, or removes it from the queue and returns the failure.
func (g *Gate) wait(ctx context.Context, deadline time.Time, queued *waiter, element *list.Element) (*Ticket, error) {
	g.mu.Lock()
	latestStart := deadline.Add(-g.neededTime())
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(latestStart))
	defer timer.Stop()
	select {
	case <-queued.admitted:
		return &Ticket{gate: g, started: time.Now()}, nil
	case <-queued.refused:
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-queued.admitted:
		return &Ticket{gate: g, started: time.Now()}, nil
	default:
	}
	g.waiting.Remove(element)
	if ctx.Err() != nil {
		return nil, failure.New(failure.Cancelled, failure.NotRun, "the query was cancelled while it was queued")
	}
	retryAfter := max(g.expectedWait(g.waiting.Len()), minimumRetryAfter)
	return nil, failure.New(failure.Overloaded, failure.NotRun, "the query was queued until too little time was left before the deadline").WithRetryAfter(retryAfter)
}

// Done records the end of the query. The congested argument says whether leafs shed load during the query.
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
	g.refuseTooLate(now)
}

// admitWaiting admits queries from the front of the queue. g.mu must be held.
func (g *Gate) admitWaiting() {
	for g.running < int(g.limitInUse) && g.waiting.Len() > 0 {
		queued := g.waiting.Remove(g.waiting.Front()).(*waiter)
		g.running++
		close(queued.admitted)
	}
}

// refuseTooLate refuses queries at the end of the queue whose expected wait has become too long for their deadline, for
// example because the limit in use was reduced. g.mu must be held.
func (g *Gate) refuseTooLate(now time.Time) {
	for g.waiting.Len() > 0 {
		last := g.waiting.Back()
		queued := last.Value.(*waiter)
		if now.Add(g.expectedWait(g.waiting.Len() - 1)).Add(g.neededTime()).Before(queued.deadline) {
			return
		}
		g.waiting.Remove(last)
		close(queued.refused)
	}
}

// Package admission decides whether a node takes a query, lets it wait, or refuses it.
//
// Each service has a concurrency limit and a bounded queue on each node. A query that
// cannot finish in its remaining time is refused at once, with when to come back, rather
// than kept waiting. The limit in use moves below the operator's when leafs shed load, and
// back up when they don't.
package admission

import (
	"container/list"
	"context"
	"math"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Limits are a service's limits on one node.
type Limits struct {
	// Concurrency is the most queries that run at once.
	Concurrency int
	// Queue is the most queries that wait.
	Queue int
}

// serviceTimeWeight is the share of a new sample in the moving average service time.
const serviceTimeWeight = 0.05

// congestedBackoff multiplies the limit in use after a congested query.
const congestedBackoff = 0.9

// backoffPause is the least time between two reductions, so that the queries of one
// congested moment count once.
const backoffPause = 100 * time.Millisecond

// minimumRetryAfter is the least time a refused caller is told to wait.
const minimumRetryAfter = 20 * time.Millisecond

// Gate admits the queries of one service on one node. It is safe for concurrent use.
type Gate struct {
	mutex       sync.Mutex
	limits      Limits
	inUse       float64 // the limit in use; between 1 and limits.Concurrency
	running     int
	waiting     list.List // of *waiter, in order of arrival
	serviceTime float64   // moving average in seconds
	reducedAt   time.Time
}

type waiter struct {
	admitted chan struct{}
	refused  chan struct{} // closed when the wait has become hopeless
	deadline time.Time
}

// NewGate makes a gate.
func NewGate(limits Limits) *Gate {
	return &Gate{limits: limits, inUse: float64(limits.Concurrency)}
}

// SetLimits takes new limits into force; running queries are not affected.
func (g *Gate) SetLimits(limits Limits) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.limits == limits {
		return
	}
	if g.inUse >= float64(g.limits.Concurrency) {
		g.inUse = float64(limits.Concurrency)
	}
	g.limits = limits
	g.inUse = math.Max(1, math.Min(g.inUse, float64(limits.Concurrency)))
	g.admitWaiting()
}

// Ticket is the place of an admitted query; Done must be called once.
type Ticket struct {
	gate    *Gate
	started time.Time
}

// Enter admits the query, perhaps after a wait. It fails at once when the wait would not
// leave the query the time it typically needs.
func (g *Gate) Enter(ctx context.Context, deadline time.Time) (*Ticket, error) {
	g.mutex.Lock()
	if g.running < int(g.inUse) && g.waiting.Len() == 0 {
		g.running++
		g.mutex.Unlock()
		return &Ticket{gate: g, started: time.Now()}, nil
	}
	wait := g.expectedWait()
	if refused := g.refuse(wait, deadline); refused != nil {
		g.mutex.Unlock()
		return nil, refused
	}
	place := &waiter{admitted: make(chan struct{}), refused: make(chan struct{}), deadline: deadline}
	element := g.waiting.PushBack(place)
	g.mutex.Unlock()
	return g.wait(ctx, deadline, place, element)
}

// refuse tells a query that can't be served why and when to come back.
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

func (g *Gate) wait(ctx context.Context, deadline time.Time, place *waiter, element *list.Element) (*Ticket, error) {
	g.mutex.Lock()
	latestStart := deadline.Add(-g.needed())
	g.mutex.Unlock()
	timer := time.NewTimer(time.Until(latestStart))
	defer timer.Stop()
	select {
	case <-place.admitted:
		return &Ticket{gate: g, started: time.Now()}, nil
	case <-place.refused:
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case <-place.admitted:
		return &Ticket{gate: g, started: time.Now()}, nil
	default:
	}
	g.waiting.Remove(element)
	if ctx.Err() != nil {
		return nil, failure.New(failure.Cancelled, failure.NotRun, "the caller went away while the query waited")
	}
	return nil, failure.New(failure.Overloaded, failure.NotRun, "no place became free in time").WithRetryAfter(max(g.expectedWait(), minimumRetryAfter))
}

// neededFactor times the typical service time is what a query must have left to be worth
// starting.
const neededFactor = 1.5

// needed is the time that a query must have left when it starts.
func (g *Gate) needed() time.Duration {
	return time.Duration(neededFactor * g.serviceTime * float64(time.Second))
}

// expectedWait estimates how long a query that joins the queue now will wait.
func (g *Gate) expectedWait() time.Duration { return g.waitBehind(g.waiting.Len()) }

// waitBehind estimates the wait of a query behind so many waiting ones.
func (g *Gate) waitBehind(ahead int) time.Duration {
	return time.Duration(float64(ahead+1) * g.serviceTime / math.Max(1, g.inUse) * float64(time.Second))
}

// refuseHopeless refuses, from the end of the queue, those whose wait has become too long for
// their deadline, as when the limit in use went down. They hear so at once.
func (g *Gate) refuseHopeless(now time.Time) {
	for g.waiting.Len() > 0 {
		last := g.waiting.Back()
		place := last.Value.(*waiter)
		if now.Add(g.waitBehind(g.waiting.Len() - 1)).Add(g.needed()).Before(place.deadline) {
			return
		}
		g.waiting.Remove(last)
		close(place.refused)
	}
}

// Done gives the place back. Congested says that leafs shed load during the query.
func (t *Ticket) Done(congested bool) {
	g := t.gate
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	g.serviceTime += serviceTimeWeight * (now.Sub(t.started).Seconds() - g.serviceTime)
	if congested {
		g.reduce(now)
	} else {
		g.inUse = math.Min(float64(g.limits.Concurrency), g.inUse+1/g.inUse)
	}
	g.admitWaiting()
	g.refuseHopeless(now)
}

// Congested lowers the limit in use for the sake of a more urgent service.
func (g *Gate) Congested() {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.reduce(now)
	g.refuseHopeless(now)
}

func (g *Gate) reduce(now time.Time) {
	if now.Sub(g.reducedAt) < backoffPause {
		return
	}
	g.reducedAt = now
	g.inUse = math.Max(1, math.Min(g.inUse, float64(g.running+1))*congestedBackoff)
}

func (g *Gate) admitWaiting() {
	for g.running < int(g.inUse) && g.waiting.Len() > 0 {
		place := g.waiting.Remove(g.waiting.Front()).(*waiter)
		g.running++
		close(place.admitted)
	}
}

// Usage is what a gate is doing.
type Usage struct {
	Running    int
	Waiting    int
	LimitInUse int
}

// Usage gives the gate's state for metrics.
func (g *Gate) Usage() Usage {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return Usage{Running: g.running, Waiting: g.waiting.Len(), LimitInUse: int(g.inUse)}
}

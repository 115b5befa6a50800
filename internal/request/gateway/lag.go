package gateway

import (
	"sync"
	"time"
)

// lagTracker estimates a delay from samples: how much later than planned this node makes its answers, since timers,
// merging and queueing take time on a small or busy machine, or how long the round trip to an intermediate takes. What
// is planned is planned earlier by the estimate. The zero value estimates no lag; it is safe for concurrent use.
type lagTracker struct {
	mu  sync.Mutex
	lag time.Duration
}

// Shares of the difference by which a sample moves the estimate. It rises faster than it falls: a late answer loses
// most of its worth, one that is sent early only a few parts.
const (
	lagRise = 0.5
	lagFall = 0.1
)

// lagObjectiveDivisor bounds the lag that is planned for: a quarter of the objective.
const lagObjectiveDivisor = 4

// observe records by how much something was late.
func (l *lagTracker) observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	difference := float64(max(0, late) - l.lag)
	if difference > 0 {
		l.lag += time.Duration(lagRise * difference)
		return
	}
	l.lag += time.Duration(lagFall * difference)
}

// expected returns the lag to plan for within an objective.
func (l *lagTracker) expected(objective time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.lag, objective/lagObjectiveDivisor)
}

// observeLag records how much later than planned a partial answer was made. Only answers whose required parts had all
// arrived before count: others were late for lack of parts.
func (e *execution) observeLag() {
	enoughAt := e.summary.SufficientAt
	if e.isGathered() && !enoughAt.IsZero() && e.summary.EndedAtSoftDeadline && enoughAt.Before(e.request.answerBy) {
		e.gateway.lag.observe(time.Since(e.request.answerBy))
	}
}

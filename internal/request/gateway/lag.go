package gateway

import (
	"sync"
	"time"
)

// lagTracker estimates a delay from samples. A node has one for how much later than planned it makes its answers, since
// timers, merging and queueing take time on a small or busy machine, and a root has one for the round trip to
// intermediates. Both plan earlier by the estimate. The zero value estimates no delay; it is safe for concurrent use.
type lagTracker struct {
	mu  sync.Mutex
	lag time.Duration
}

// Shares of the difference by which a sample moves the estimate. It rises faster than it falls: an answer
// that is a little late costs more than one that is sent early with a few parts fewer.
const (
	lagRise = 0.5
	lagFall = 0.1
)

// lagObjectiveDivisor bounds the delay that is planned for: a quarter of the objective.
const lagObjectiveDivisor = 4

// observe records a sample; a negative one counts as zero.
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

// expected returns the delay to plan for within an objective.
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

package gateway

import (
	"sync"
	"time"
)

// lagTracker learns how much later than planned a node makes its answers: on a small or busy
// machine, the timer of an objective, the merge and what waits before it take their time. Answers
// are planned that much earlier. The zero value knows of no lag; it is safe for concurrent use.
type lagTracker struct {
	mu  sync.Mutex
	lag time.Duration
}

// Shares of the difference that a sample moves the lag by: a longer one counts at once, since an
// answer that is late costs most of its worth, one that is early costs a few parts.
const (
	lagRise = 0.5
	lagFall = 0.1
)

// observe takes how much later than planned an answer was made.
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

// expected gives the lag to plan for, at most a part of the objective.
func (l *lagTracker) expected(objective time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.lag, objective/lagObjectiveDivisor)
}

// lagObjectiveDivisor is the part of an objective, as a divisor, that is planned for lag at most.
const lagObjectiveDivisor = 4

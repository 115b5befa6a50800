package gateway

import (
	"sync"
	"time"
)

// delayEstimator estimates a delay from samples. Each node estimates its lag: how much later than planned it completes
// answers, because of timers, merging and queueing. A root also estimates the round trip to intermediates. Answers are
// planned earlier by the estimates. The zero value estimates no delay. It is safe for concurrent use.
type delayEstimator struct {
	mu       sync.Mutex
	estimate time.Duration
}

// Fractions of the difference by which a sample moves the estimate. It rises faster than it falls: an answer that is
// slightly late costs more than one that is sent early without a few parts.
const (
	riseFraction = 0.5
	fallFraction = 0.1
)

// maximumDelayDivisor bounds the delay to plan for: a quarter of the objective.
const maximumDelayDivisor = 4

// observe records a sample; a negative sample counts as zero.
func (d *delayEstimator) observe(sample time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	difference := float64(max(0, sample) - d.estimate)
	if difference > 0 {
		d.estimate += time.Duration(riseFraction * difference)
		return
	}
	d.estimate += time.Duration(fallFraction * difference)
}

// expected returns the delay to plan for within an objective.
func (d *delayEstimator) expected(objective time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(d.estimate, objective/maximumDelayDivisor)
}

// observeLag records how much later than planned a partial answer was completed. Only answers whose required parts had
// arrived by then count; others were late because parts were missing.
func (e *execution) observeLag() {
	enoughAt := e.summary.SufficientAt
	if e.isGathered() && !enoughAt.IsZero() && e.summary.EndedAtSoftDeadline && enoughAt.Before(e.request.answerBy) {
		e.gateway.lag.observe(time.Since(e.request.answerBy))
	}
}

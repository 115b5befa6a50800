package boottime

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/wait"
)

// leastSleep is the least difference of the clocks that counts as a suspension: reading both takes microseconds, and the
// kernel slews them alike.
const leastSleep = 20 * time.Millisecond

// Mark is an instant by both clocks.
type Mark struct {
	clock   Clock
	counted time.Time
	steady  time.Time
}

// Mark gives the instant. The steady clock is read first here and last in Slept, so that a process that has to wait between
// the two readings does not take that for a suspension.
func (c Clock) Mark() Mark {
	steady := time.Now()
	return Mark{clock: c, counted: c.Now(), steady: steady}
}

// Slept gives for how long the machine was suspended since the mark; 0 where it was not.
func (m Mark) Slept() time.Duration {
	counted := m.clock.Since(m.counted)
	slept := counted - time.Since(m.steady)
	if slept < leastSleep {
		return 0
	}
	return slept
}

// LookInterval is how often a node looks whether it was suspended: what it believes for so long after waking is as old as
// the suspension was long.
const LookInterval = 100 * time.Millisecond

// Watch calls woke after each suspension with its length, until the context ends.
func Watch(ctx context.Context, clock Clock, woke func(slept time.Duration)) {
	mark := clock.Mark()
	for wait.For(ctx, LookInterval) {
		if slept := mark.Slept(); slept > 0 {
			woke(slept)
			mark = clock.Mark()
		}
	}
}

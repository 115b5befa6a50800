package boottime

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/wait"
)

// minSuspension is the smallest difference between the two clocks that counts as a suspension. Reading both takes
// microseconds, and the kernel slews them alike.
const minSuspension = 20 * time.Millisecond

// Instant is an instant on both clocks, the one that includes suspensions and the monotonic one.
type Instant struct {
	clock   Clock
	counted time.Time
	steady  time.Time
}

// Instant returns the current instant. The monotonic clock is read first here and last in Suspended, so that a process that is
// descheduled between the two readings does not take that for a suspension.
func (c Clock) Instant() Instant {
	steady := time.Now()
	return Instant{clock: c, counted: c.Now(), steady: steady}
}

// Suspended returns for how long the machine was suspended since the mark; 0 if it was not.
func (m Instant) Suspended() time.Duration {
	counted := m.clock.Since(m.counted)
	suspended := counted - time.Since(m.steady)
	if suspended < minSuspension {
		return 0
	}
	return suspended
}

// CheckInterval is how often Watch checks for a suspension: after one, a node acts on outdated state for at most this long.
const CheckInterval = 100 * time.Millisecond

// Watch calls resumed after each suspension with its length, until the context ends.
func Watch(ctx context.Context, clock Clock, resumed func(suspended time.Duration)) {
	instant := clock.Instant()
	for wait.For(ctx, CheckInterval) {
		if suspended := instant.Suspended(); suspended > 0 {
			resumed(suspended)
			instant = clock.Instant()
		}
	}
}

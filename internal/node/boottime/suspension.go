package boottime

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/wait"
)

// minSuspension is the smallest difference between the two clocks that counts as a suspension. Reading both takes
// microseconds, and the kernel slews both at the same rate.
const minSuspension = 20 * time.Millisecond

// Instant is a reading of both clocks: the one that includes suspensions and the monotonic one.
type Instant struct {
	clock     Clock
	bootTime  time.Time
	monotonic time.Time
}

// Instant reads both clocks. It reads the monotonic clock first, and Suspended reads it last, so that the time for
// which the process is descheduled between the two readings doesn't count as a suspension.
func (c Clock) Instant() Instant {
	monotonic := time.Now()
	return Instant{clock: c, bootTime: c.Now(), monotonic: monotonic}
}

// Suspended returns for how long the machine was suspended since the instant; 0 if it was not.
func (i Instant) Suspended() time.Duration {
	elapsed := i.clock.Since(i.bootTime)
	suspended := elapsed - time.Since(i.monotonic)
	if suspended < minSuspension {
		return 0
	}
	return suspended
}

// CheckInterval is how often Watch checks for a suspension. It bounds how long a node acts on outdated state after one.
const CheckInterval = 100 * time.Millisecond

// Watch calls resumed with the length of each suspension after it ended, until the context is done.
func Watch(ctx context.Context, clock Clock, resumed func(suspended time.Duration)) {
	instant := clock.Instant()
	for wait.For(ctx, CheckInterval) {
		if suspended := instant.Suspended(); suspended > 0 {
			resumed(suspended)
			instant = clock.Instant()
		}
	}
}

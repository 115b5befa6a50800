// Package boottime is a clock that includes the time for which the machine was suspended, and detects suspensions.
//
// The monotonic clock behind time.Now, timers and deadlines stops during a suspension. Leases, quarantine terms, ages of
// the configuration and anything else that expires by itself are measured here instead; otherwise a machine that was
// suspended for ten seconds would trust them ten seconds longer than the rest of the fleet does. The time of day can't
// serve, since it may jump.
//
// It owns no state beyond the start of each Clock and relies on the kernel's CLOCK_BOOTTIME.
package boottime

import (
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// Clock returns instants that may be compared only with others of the same clock. The nil Clock is the monotonic clock,
// for tests in virtual time and kernels without CLOCK_BOOTTIME.
type Clock func() time.Time

// Now returns the current instant.
func (c Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	return c()
}

// Since returns the time since an instant, suspensions included.
func (c Clock) Since(instant time.Time) time.Duration { return c.Now().Sub(instant) }

// System returns the machine's clock, or an error if the kernel doesn't have it.
func System() (Clock, error) {
	start, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	base := time.Now().Round(0) // drop the monotonic reading
	return func() time.Time {
		now, err := sinceBoot()
		if err != nil {
			// The clock worked above, and CLOCK_BOOTTIME has no documented way to fail later.
			panic(err)
		}
		return base.Add(now - start)
	}, nil
}

// sinceBoot reads CLOCK_BOOTTIME.
func sinceBoot() (time.Duration, error) {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		return 0, merry.Prepend(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(read.Nano()), nil
}

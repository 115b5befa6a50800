// Package boottime provides a clock that includes suspensions of the machine, and detects them.
//
// The monotonic clock of time.Now, timers and deadlines stops during a suspension. Leases, retest delays of quarantined
// requests, the age of the configuration and other limits that expire are measured with this clock instead; otherwise a
// machine that was suspended for ten seconds would treat them as valid for ten seconds longer than the rest of the
// fleet does. The wall clock is not suitable, since it may jump.
//
// The clock is the kernel's CLOCK_BOOTTIME.
package boottime

import (
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// Clock returns the current time. Its times may be compared only with times of the same Clock. The nil Clock is the
// monotonic clock, for tests in virtual time and kernels without CLOCK_BOOTTIME.
type Clock func() time.Time

func (c Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	return c()
}

// Since returns the time elapsed since start, including suspensions.
func (c Clock) Since(start time.Time) time.Duration { return c.Now().Sub(start) }

// System returns a clock that reads CLOCK_BOOTTIME, or an error if the kernel doesn't have it.
func System() (Clock, error) {
	start, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	base := time.Now().Round(0) // drop the monotonic reading
	return func() time.Time {
		now, err := sinceBoot()
		if err != nil {
			// The first reading succeeded, and CLOCK_BOOTTIME has no documented way to fail later.
			panic(err)
		}
		return base.Add(now - start)
	}, nil
}

// sinceBoot returns the value of CLOCK_BOOTTIME.
func sinceBoot() (time.Duration, error) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, merry.Prepend(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(reading.Nano()), nil
}

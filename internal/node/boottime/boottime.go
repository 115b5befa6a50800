// Package boottime reads a clock that counts the time for which the machine was suspended.
//
// The steady clock behind time.Now, timers and deadlines stands still then. What must lapse by itself, or is believed
// because it is fresh, is measured here instead: a machine that slept for ten seconds would hold it for true ten
// seconds longer than the rest of the fleet does. The time of day is of no use for that, since it may jump.
package boottime

import (
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// Clock gives instants to be compared with others of the same clock, and with nothing else. The nil clock is the steady
// one, for tests in virtual time.
type Clock func() time.Time

// Now gives the instant.
func (c Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	return c()
}

// Since gives the time since an instant.
func (c Clock) Since(instant time.Time) time.Duration { return c.Now().Sub(instant) }

// System gives the machine's clock, or an error where the kernel has none.
func System() (Clock, error) {
	start, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	base := time.Now().Round(0) // without the steady clock's reading
	return func() time.Time {
		now, err := sinceBoot()
		if err != nil {
			// It was there a moment ago, and the kernel names no way in which it goes.
			panic(err)
		}
		return base.Add(now - start)
	}, nil
}

// sinceBoot reads the kernel's clock.
func sinceBoot() (time.Duration, error) {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		return 0, merry.Prepend(err, "read the clock that counts suspended time")
	}
	return time.Duration(read.Nano()), nil
}

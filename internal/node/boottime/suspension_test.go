package boottime

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// suspendableClock is the clock of a machine whose suspensions are simulated: they advance this clock but not time.Now.
type suspendableClock struct{ suspended atomic.Int64 }

func (s *suspendableClock) now() time.Time { return time.Now().Add(time.Duration(s.suspended.Load())) }

func (s *suspendableClock) suspend(duration time.Duration) { s.suspended.Add(int64(duration)) }

func TestWatchReportsEachSuspensionOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		machine := &suspendableClock{}
		var reported []time.Duration
		ctx, cancel := context.WithCancel(t.Context())
		go Watch(ctx, machine.now, func(suspended time.Duration) { reported = append(reported, suspended) })
		time.Sleep(time.Hour)
		synctest.Wait()
		is.Equal(len(reported), 0) // nothing is reported without a suspension
		machine.suspend(5 * time.Second)
		time.Sleep(2 * CheckInterval)
		machine.suspend(time.Minute)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(reported, []time.Duration{5 * time.Second, time.Minute})
		cancel()
	})
}

func TestInstantMeasuresSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		machine := &suspendableClock{}
		instant := Clock(machine.now).Instant()
		time.Sleep(time.Second)
		is.Equal(instant.Suspended(), time.Duration(0))
		machine.suspend(3 * time.Second)
		time.Sleep(time.Second)
		is.Equal(instant.Suspended(), 3*time.Second)
	})
}

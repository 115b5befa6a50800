package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The age of the configuration doesn't depend on steps of the wall clock: its times have a monotonic reading, "m=" in their
// text. A catalog that was never confirmed is old.
func TestAgeIsFreeOfTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	known := New(nil)
	is.True(time.Since(known.ConfirmedAt()) > 365*24*time.Hour)
	at := time.Now().Add(-time.Minute)
	known.Confirm(at)
	known.Confirm(at.Add(-time.Minute)) // an older confirmation changes nothing
	is.True(known.ConfirmedAt().Equal(at))
	is.True(strings.Contains(known.ConfirmedAt().String(), " m="))
}

// The configuration ages while the machine is suspended, and so does a confirmation that came before.
func TestConfigurationAgesInSleep(t *testing.T) {
	is := is.New(t)
	suspendedFor := time.Duration(0)
	known := New(nil)
	known.SetClock(func() time.Time { return time.Now().Add(suspendedFor) })
	known.Confirm(known.Now())
	requestedAt := known.Instant()
	suspendedFor = 10 * time.Second
	is.True(known.Age() >= 10*time.Second)
	known.ConfirmSince(requestedAt, time.Second) // may have come before the suspension
	is.True(known.Age() >= 10*time.Second)
	known.ConfirmSince(known.Instant(), time.Second)
	is.True(known.Age() < 5*time.Second)
}

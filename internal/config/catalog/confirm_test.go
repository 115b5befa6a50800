package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The confirmation time has a monotonic reading ("m=" in its text), so the age isn't affected by steps of the wall clock.
// A catalog that was never confirmed is old.
func TestAgeIgnoresWallClockSteps(t *testing.T) {
	is := is.New(t)
	catalog := New(nil)
	is.True(time.Since(catalog.ConfirmedAt()) > 365*24*time.Hour)
	at := time.Now().Add(-time.Minute)
	catalog.Confirm(at)
	catalog.Confirm(at.Add(-time.Minute)) // an older confirmation changes nothing
	is.True(catalog.ConfirmedAt().Equal(at))
	is.True(strings.Contains(catalog.ConfirmedAt().String(), " m="))
}

// The age of the configuration includes the time during which the machine was suspended.
func TestConfigurationAgesDuringSuspension(t *testing.T) {
	is := is.New(t)
	suspendedFor := time.Duration(0)
	catalog := New(nil)
	catalog.SetClock(func() time.Time { return time.Now().Add(suspendedFor) })
	catalog.Confirm(catalog.Now())
	requestedAt := catalog.Instant()
	suspendedFor = 10 * time.Second
	is.True(catalog.Age() >= 10*time.Second)
	catalog.ConfirmSince(requestedAt, time.Second) // the response may have arrived before the suspension
	is.True(catalog.Age() >= 10*time.Second)
	catalog.ConfirmSince(catalog.Instant(), time.Second)
	is.True(catalog.Age() < 5*time.Second)
}

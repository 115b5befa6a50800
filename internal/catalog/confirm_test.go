package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// How long ago the configuration was the newest is told by a clock that no step of the time of day moves: its
// times have a monotonic reading, "m=" in their text. A catalog that was never confirmed is old.
func TestAgeIsFreeOfTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	known := New(nil)
	is.True(time.Since(known.ConfirmedAt()) > 365*24*time.Hour)
	at := time.Now().Add(-time.Minute)
	known.Confirm(at)
	known.Confirm(at.Add(-time.Minute)) // older word changes nothing
	is.True(known.ConfirmedAt().Equal(at))
	is.True(strings.Contains(known.ConfirmedAt().String(), " m="))
}

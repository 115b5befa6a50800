package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Requests before a suspension that is longer than the window allow no repeats after it.
func TestRequestsBeforeASuspensionAllowNoRepeats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	budgets := New(Config{Ratio: 0.2, Window: 10 * time.Second, UsedFraction: 1}, func(string) float64 { return 1 })
	budgets.SetClock(func() time.Time { return now })
	for range 100 {
		budgets.CountRequest("s")
	}
	is.True(budgets.Take("s", 0))
	now = now.Add(12 * time.Second) // the machine is suspended
	is.True(!budgets.Take("s", 0))
	is.Equal(budgets.FreeFraction("s"), 0.0)
}

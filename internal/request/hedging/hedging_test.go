package hedging

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// For any sequence of earn and take, the tokens taken do not exceed the burst plus the tokens earned.
func TestBudgetBoundsTokensTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perMille := rapid.Uint32Range(0, 1000).Draw(t, "per mille")
		burst := rapid.IntRange(1, 50).Draw(t, "burst")
		var tokens budget
		tokens.init(perMille, burst)
		earned, taken := 0, 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "earn") {
				count := rapid.IntRange(1, 64).Draw(t, "count")
				earned += count
				tokens.earn(count)
			} else if tokens.take() {
				taken++
			}
		}
		if taken*tokenUnit > burst*tokenUnit+earned*int(perMille) {
			t.Fatalf("%d tokens were taken with a burst of %d and %d attempts at %d per mille", taken, burst, earned, perMille)
		}
	})
}

func TestHedgeDelayIsTheLatencyQuantile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		policy := NewPolicy(DefaultConfig(), 0)
		_, known := policy.HedgeDelay(0)
		is.True(!known) // no latency is known yet
		for number := range 1000 {
			took := 2 * time.Millisecond
			if number%100 == 0 {
				took = 200 * time.Millisecond
			}
			policy.Observe(took)
		}
		first, known := policy.HedgeDelay(0)
		is.True(known)
		is.True(first >= 2*time.Millisecond && first < 3*time.Millisecond)
		second, known := policy.HedgeDelay(1)
		is.True(known)
		is.Equal(second, first)
		_, known = policy.HedgeDelay(DefaultConfig().MaximumStages)
		is.True(!known)
	})
}

func TestNoHedgeIsSentDuringTheShedPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		policy := NewPolicy(DefaultConfig(), 0)
		is.True(policy.AllowHedge())
		policy.ObserveShed()
		is.True(!policy.AllowHedge())
		time.Sleep(DefaultConfig().ShedPause + time.Millisecond)
		is.True(policy.AllowHedge())
	})
}

// Package wait provides waits that end early if a context ends. It uses the monotonic clock, which does not advance while
// the machine is suspended.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for a duration. It returns false if the context ended first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jittered returns a random duration between 0.5 and 1.5 times pause, so that callers that failed together don't retry
// together.
func Jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.5 + rand.Float64()))
}

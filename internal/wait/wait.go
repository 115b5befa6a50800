// Package wait waits for a time that a context may cut short. It relies on the monotonic clock, which does not
// advance while the machine is suspended.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits, and reports whether the whole time has passed; false means that the context ended.
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

// Jittered returns half to one and a half times a pause, at random, so that callers that failed together don't
// retry together.
func Jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.5 + rand.Float64()))
}

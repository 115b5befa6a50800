// Package wait sleeps until a time has passed or a context has ended.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For sleeps and reports whether the whole time has passed; false means the context ended.
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

// Jittered returns half to one and a half of a pause, so that those who failed together don't try again together.
func Jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.5 + rand.Float64()))
}

// Package wait sleeps until a time has passed or a context has ended.
package wait

import (
	"context"
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

// Package retry repeats calls to processes that are starting.
package retry

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/wait"
)

// pause is the time between two calls.
const pause = 100 * time.Millisecond

// Eventually repeats a call until it succeeds, and returns its last error after the timeout.
func Eventually(ctx context.Context, timeout time.Duration, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := call()
		if err == nil || !wait.For(ctx, pause) {
			return err
		}
	}
}

// Package retry retries calls to processes that are starting.
package retry

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/wait"
)

const retryInterval = 100 * time.Millisecond

// Eventually retries a call until it succeeds. After the timeout it returns the last error.
func Eventually(ctx context.Context, timeout time.Duration, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := call()
		if err == nil || !wait.For(ctx, retryInterval) {
			return err
		}
	}
}

// Package retry repeats calls while the processes of an experiment are starting.
package retry

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/wait"
)

// pause is the pause between two tries.
const pause = 100 * time.Millisecond

// Eventually repeats a call until it succeeds or the time is up, and then gives its last error.
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

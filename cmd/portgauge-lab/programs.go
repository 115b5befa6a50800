package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/portgauge/portgauge/internal/lab/process"
)

// withPrograms builds the programs in a temporary directory and calls run with them. SIGTERM and SIGINT cancel the context.
func withPrograms(run func(context.Context, process.Programs) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	dir, err := os.MkdirTemp("", "portgauge-lab-")
	if err != nil {
		return err
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			return
		}
	}()
	programs, err := process.Build(dir)
	if err != nil {
		return err
	}
	return run(ctx, programs)
}

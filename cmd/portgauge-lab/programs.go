package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/portgauge/portgauge/internal/lab/process"
)

// withPrograms builds the programs into a temporary folder and calls run with them. The context ends with SIGTERM or SIGINT.
func withPrograms(run func(context.Context, process.Programs) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	folder, err := os.MkdirTemp("", "portgauge-lab-")
	if err != nil {
		return err
	}
	defer func() {
		if err := os.RemoveAll(folder); err != nil {
			return
		}
	}()
	programs, err := process.Build(folder)
	if err != nil {
		return err
	}
	return run(ctx, programs)
}

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/portgauge/portgauge/internal/lab/process"
)

// withPrograms compiles the programs into a folder of their own, runs a command on them until
// SIGTERM or SIGINT, and removes the folder.
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

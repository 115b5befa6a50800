package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/portgauge/portgauge/internal/lab/experiment"
)

// experimentCommand runs an experiment.
type experimentCommand struct {
	Name        string        `arg:"" help:"Experiment: ${enum}." enum:"tail,slow-replica,overload,brownout,node-cost"`
	Repetitions int           `help:"How often each arm runs." default:"3"`
	Slice       time.Duration `help:"How long one arm runs at a time." default:"10s"`
	PerSecond   float64       `help:"Searches a second; 0 means the experiment's own rate."`
}

// Run prints the arms and their ratios.
func (c *experimentCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	programs, cleanUp, err := buildPrograms()
	if err != nil {
		return err
	}
	defer cleanUp()
	options := experiment.Options{Repetitions: c.Repetitions, Slice: c.Slice, PerSecond: c.PerSecond}
	return experiment.Run(ctx, c.Name, options, programs, os.Stdout)
}

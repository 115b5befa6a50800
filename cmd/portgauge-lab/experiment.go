package main

import (
	"context"
	"os"
	"time"

	"github.com/portgauge/portgauge/internal/lab/experiment"
	"github.com/portgauge/portgauge/internal/lab/process"
)

// experimentCommand runs an experiment.
type experimentCommand struct {
	Name        string        `arg:"" help:"Experiment: ${enum}." enum:"tail,slow-replica,overload,brownout,node-cost,canary"`
	Repetitions int           `help:"How often each arm runs; of canary: the seeds a case." default:"3"`
	Slice       time.Duration `help:"How long one arm runs at a time." default:"10s"`
	PerSecond   float64       `help:"Searches a second; 0 means the experiment's own rate."`
}

// Run prints the arms and their ratios.
func (c *experimentCommand) Run() error {
	options := experiment.Options{Repetitions: c.Repetitions, Slice: c.Slice, PerSecond: c.PerSecond}
	return withPrograms(func(ctx context.Context, programs process.Programs) error {
		return experiment.Run(ctx, c.Name, options, programs, os.Stdout)
	})
}

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/internal/lab/soak"
)

// rolloutCommand runs rollouts of good and bad versions on real nodes.
type rolloutCommand struct {
	Cases     []string      `help:"Cases to run; empty runs all, an unknown one lists them." sep:";"`
	Duration  time.Duration `default:"12s" help:"How long each rollout may take."`
	PerSecond int           `default:"60" help:"Requests per second."`
	Seed      uint64        `help:"Seed of the requests; 0 selects a random one."`
	Logs      string        `help:"Directory for the newest output of the nodes."`
}

// Run runs the cases and fails if any case has the wrong outcome or breaks a guarantee.
func (c *rolloutCommand) Run() error {
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return withPrograms(func(ctx context.Context, programs process.Programs) error {
		fmt.Printf("seed %d\n", seed)
		cfg := soak.RolloutsConfig{Seed: seed, Duration: c.Duration, PerSecond: c.PerSecond, Cases: c.Cases, Logs: c.Logs}
		passed, failed, err := soak.RunRollouts(ctx, programs.Portgauge, cfg, os.Stdout)
		if err != nil {
			return err
		}
		fmt.Printf("%d passed, %d failed\n", passed, failed)
		if failed > 0 {
			return failure.New(failure.Internal, failure.Unknown, "%d rollouts had the wrong outcome or broke a guarantee", failed)
		}
		return nil
	})
}

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

// soakCommand injects random faults around real nodes and checks the guarantees.
type soakCommand struct {
	Seeds     []uint64      `help:"Seeds to run; empty selects a random one."`
	Length    time.Duration `default:"40s" help:"How long faults are injected, for each seed."`
	PerSecond int           `default:"60" help:"Requests per second."`
	Nodes     int           `default:"4" help:"Nodes, each a process."`
	Streams   int           `default:"2" help:"Streams of faults that are injected at the same time."`
	Logs      string        `default:"target/soak" help:"Directory for the logs of each seed that broke a guarantee."`
	KeepAll   bool          `help:"Keep the logs of all seeds."`
}

// Run runs each seed in turn and fails if any guarantee is broken.
func (c *soakCommand) Run() error {
	seeds := c.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{rand.Uint64()}
	}
	return withPrograms(func(ctx context.Context, programs process.Programs) error {
		passed, failed := 0, 0
		for _, seed := range seeds {
			fmt.Printf("seed %d\n", seed)
			results, err := soak.Run(ctx, programs.Portgauge, soak.Config{Seed: seed, Length: c.Length, PerSecond: c.PerSecond, Nodes: c.Nodes, Streams: c.Streams, Logs: c.Logs, KeepAll: c.KeepAll}, os.Stdout)
			if err != nil {
				return err
			}
			seedPassed, seedFailed := soak.Report(results, os.Stdout)
			passed, failed = passed+seedPassed, failed+seedFailed
		}
		fmt.Printf("%d passed, %d failed\n", passed, failed)
		if failed > 0 {
			return failure.New(failure.Internal, failure.Unknown, "%d guarantees were broken", failed)
		}
		return nil
	})
}

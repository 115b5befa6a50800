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

// soakCommand brings about random faults around real nodes and judges the promises.
type soakCommand struct {
	Seeds     []uint64      `help:"Seeds to play; empty draws one."`
	Length    time.Duration `default:"40s" help:"How long faults are brought about, for each seed."`
	PerSecond int           `default:"60" help:"Requests a second."`
	Nodes     int           `default:"4" help:"Nodes, each a process."`
	Streams   int           `default:"2" help:"Faults that are brought about side by side."`
	Logs      string        `default:"target/soak" help:"Folder for the logs of each seed that broke a promise."`
	KeepAll   bool          `help:"Keep the logs of all seeds."`
}

// Run plays each seed in turn and fails if any promise was broken.
func (c *soakCommand) Run() error {
	seeds := c.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{rand.Uint64()}
	}
	return withPrograms(func(ctx context.Context, programs process.Programs) error {
		passed, failed := 0, 0
		for _, seed := range seeds {
			fmt.Printf("seed %d\n", seed)
			verdicts, err := soak.Run(ctx, programs.Portgauge, soak.Config{Seed: seed, Length: c.Length, PerSecond: c.PerSecond, Nodes: c.Nodes, Streams: c.Streams, Logs: c.Logs, KeepAll: c.KeepAll}, os.Stdout)
			if err != nil {
				return err
			}
			held, broken := soak.Report(verdicts, os.Stdout)
			passed, failed = passed+held, failed+broken
		}
		fmt.Printf("%d passed, %d failed\n", passed, failed)
		if failed > 0 {
			return failure.New(failure.Internal, failure.Unknown, "%d promises broken", failed)
		}
		return nil
	})
}

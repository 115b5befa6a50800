package main

import (
	"context"
	"fmt"
	"os"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/internal/lab/replay"
)

// replayCommand replays traces.
type replayCommand struct {
	Files []string `arg:"" help:"Traces (JSON lines)."`
	Check bool     `help:"Only check the traces; run nothing."`
}

// Run validates all traces, then replays them in turn unless Check is set. It fails if any outcome does not hold.
func (c *replayCommand) Run() error {
	var traces []*replay.Trace
	for _, file := range c.Files {
		trace, err := replay.Read(file)
		if err != nil {
			return err
		}
		traces = append(traces, trace)
	}
	if c.Check {
		_, err := fmt.Printf("%d traces are valid\n", len(traces))
		return err
	}
	return withPrograms(func(ctx context.Context, programs process.Programs) error {
		return replayAll(ctx, traces, programs)
	})
}

// replayAll replays the traces in turn. A trace that can't be run counts all its outcomes as failed.
func replayAll(ctx context.Context, traces []*replay.Trace, programs process.Programs) error {
	totalPassed, totalFailed := 0, 0
	for _, trace := range traces {
		passed, failed, err := replay.Run(ctx, trace, programs, os.Stdout)
		if err != nil {
			fmt.Printf("FAIL %s: the trace could not be played: %v\n", trace.Header.Name, err)
		}
		totalPassed += passed
		totalFailed += failed
	}
	fmt.Printf("%d passed, %d failed\n", totalPassed, totalFailed)
	if totalFailed > 0 {
		return failure.New(failure.Internal, failure.Unknown, "%d outcomes failed", totalFailed)
	}
	return nil
}

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/portgauge/portgauge/internal/lab/load"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// loadCommand sends searches to running nodes.
type loadCommand struct {
	Addresses []string      `help:"Caller addresses of nodes." default:"127.0.0.1:7400"`
	Service   string        `arg:"" help:"Service to search."`
	PerSecond float64       `help:"Searches per second." default:"100"`
	Duration  time.Duration `help:"How long searches are sent; at most an hour." default:"10s"`
	Deadline  time.Duration `help:"Deadline of each search." default:"500ms"`
	Limit     uint32        `help:"Page size; 0 means the service's." default:"100"`
	Filter    string        `help:"Text that rows must contain."`
	Seed      uint64        `help:"Seed of the arrivals." default:"1"`
}

// maxDuration limits the duration of a load.
const maxDuration = time.Hour

// Run sends the searches and prints the result as JSON.
func (c *loadCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := load.Run(ctx, load.Config{
		Addresses: c.Addresses, Service: c.Service, PerSecond: c.PerSecond, Duration: min(c.Duration, maxDuration),
		Deadline: c.Deadline, Limit: c.Limit, Filter: c.Filter, Seed: c.Seed, Progress: os.Stderr,
	})
	if err != nil {
		return err
	}
	return cli.PrintValue(os.Stdout, cli.JSON, result, nil, nil)
}

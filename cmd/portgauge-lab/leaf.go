package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/sample"
)

// leafCommand runs a stand-in leaf for searches.
type leafCommand struct {
	ID                string         `help:"ID of the leaf." required:""`
	Address           string         `help:"IP address and port of the leaf protocol." default:"127.0.0.1:7500"`
	Control           string         `help:"IP address and port of the control calls; empty for none."`
	Dataset           sample.Dataset `help:"Sample index: ${enum}." enum:"tiles,invoices" default:"tiles"`
	Seed              uint64         `help:"Seed of the sample index." default:"1"`
	Records           int            `help:"Records of the sample index." default:"4000"`
	Snapshots         []string       `help:"Snapshots at the start." default:"v1"`
	Slots             int            `help:"Attempts that run at once." default:"5"`
	QueuePerSlot      int            `help:"Attempts that wait for each slot before the leaf sheds load." default:"8"`
	MedianServiceTime time.Duration  `help:"Median of the log-normal service time." default:"2ms"`
	ServiceSpread     float64        `help:"Sigma of the logarithm of the service time." default:"0.3"`
	Record            string         `help:"File to which each execution is written before it runs." placeholder:"FILE"`
}

// Run serves attempts until SIGTERM or SIGINT, and then finishes the attempts in flight.
func (c *leafCommand) Run() error {
	cfg := leaf.Config{
		ID: c.ID, Dataset: c.Dataset, Seed: c.Seed, Records: c.Records, Snapshots: c.Snapshots,
		Slots: c.Slots, QueuePerSlot: c.QueuePerSlot, MedianServiceTime: c.MedianServiceTime, ServiceSpread: c.ServiceSpread,
		Record: c.Record,
	}
	if err := cfg.Validate(); err != nil {
		return err
	}
	server, err := leaf.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return server.Serve(ctx, c.Address, c.Control)
}

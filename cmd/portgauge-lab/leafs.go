package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/sample"
)

// leafsCommand runs many stand-in back ends in one process.
type leafsCommand struct {
	Addresses         []string      `help:"IP number and port of each leaf; ids are leaf-0, leaf-1 and so on." required:""`
	Control           string        `help:"IP number and port of the control calls." required:""`
	Records           int           `help:"Records of the sample index." default:"4000"`
	Slots             int           `help:"Attempts that run at once in each leaf." default:"5"`
	QueuePerSlot      int           `help:"Attempts that wait for each slot before a leaf sheds load." default:"8"`
	MedianServiceTime time.Duration `help:"Median of the log-normal service time." default:"2ms"`
	ServiceSpread     float64       `help:"Sigma of the logarithm of the service time." default:"0.3"`
}

// Run serves until SIGTERM or SIGINT.
func (c *leafsCommand) Run() error {
	ids := make([]string, len(c.Addresses))
	for number := range ids {
		ids[number] = fmt.Sprintf("leaf-%d", number)
	}
	group, err := leaf.NewGroup(leaf.Config{
		Dataset: sample.Tiles, Seed: 1, Records: c.Records, Snapshots: []string{"v1"}, Slots: c.Slots, QueuePerSlot: c.QueuePerSlot,
		MedianServiceTime: c.MedianServiceTime, ServiceSpread: c.ServiceSpread,
	}, ids, c.Addresses)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return group.Serve(ctx, c.Control)
}

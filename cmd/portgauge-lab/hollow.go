package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/portgauge/portgauge/internal/lab/hollow"
)

// hollowCommand runs hollow nodes.
type hollowCommand struct {
	Name     string   `help:"Start of the nodes' ids." required:""`
	First    int      `help:"Number of the first node in the fleet."`
	Count    int      `help:"How many nodes." default:"100"`
	Zones    []string `help:"Zones that the nodes are dealt over." required:""`
	Platform string   `help:"IP number and port of the platform." required:""`
	Control  string   `help:"IP number and port of the control calls." required:""`
}

// Run runs the nodes until SIGTERM or SIGINT.
func (c *hollowCommand) Run() error {
	host, err := hollow.New(hollow.Config{Name: c.Name, First: c.First, Count: c.Count, Zones: c.Zones, Platform: c.Platform, Control: c.Control})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return host.Serve(ctx)
}

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/internal/lab/scale"
)

// scaleCommand measures the control side at several sizes.
type scaleCommand struct {
	Sizes         []int         `help:"Numbers of hollow nodes, one run each." default:"330,1000,3300"`
	RealNodes     int           `help:"Real nodes beside them." default:"3"`
	Zones         int           `help:"Zones that the nodes are dealt over." default:"20"`
	Hosts         int           `help:"Processes that hold the hollow nodes." default:"8"`
	Settle        time.Duration `help:"How long the fleet rests after its start before it is measured." default:"5s"`
	Steady        time.Duration `help:"How long changes come at the daily rate." default:"60s"`
	ChangesPerDay int           `help:"The daily rate." default:"14000"`
	Burst         int           `help:"Changes in the one second that follows." default:"50"`
	Shards        int           `help:"Shards of each service." default:"64"`
	Leafs         int           `help:"Leafs of each service." default:"85"`
}

// Run prints one JSON line for each size.
func (c *scaleCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	programs, cleanUp, err := buildPrograms()
	if err != nil {
		return err
	}
	defer cleanUp()
	for _, size := range c.Sizes {
		result, err := scale.Run(ctx, scale.Config{
			Nodes: size, RealNodes: c.RealNodes, Zones: c.Zones, Hosts: c.Hosts, Settle: c.Settle, Steady: c.Steady,
			ChangesPerDay: c.ChangesPerDay, Burst: c.Burst, Shards: c.Shards, Leafs: c.Leafs,
		}, programs, os.Stderr)
		if err != nil {
			return err
		}
		if err := scale.Print(os.Stdout, []scale.Result{result}); err != nil {
			return err
		}
	}
	return nil
}

// buildPrograms compiles the programs into a folder that cleanUp removes.
func buildPrograms() (programs process.Programs, cleanUp func(), err error) {
	folder, err := os.MkdirTemp("", "portgauge-lab-")
	if err != nil {
		return programs, nil, err
	}
	cleanUp = func() {
		if err := os.RemoveAll(folder); err != nil {
			return
		}
	}
	programs, err = process.Build(folder)
	return programs, cleanUp, err
}

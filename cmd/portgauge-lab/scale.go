package main

import (
	"context"
	"os"
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
	Leafs         int           `help:"Leafs of each service." default:"85"`
}

// Run prints one JSON line for each size.
func (c *scaleCommand) Run() error {
	return withPrograms(c.runSizes)
}

func (c *scaleCommand) runSizes(ctx context.Context, programs process.Programs) error {
	for _, size := range c.Sizes {
		result, err := scale.Run(ctx, scale.Config{
			Nodes: size, RealNodes: c.RealNodes, Zones: c.Zones, Hosts: c.Hosts, Settle: c.Settle, Steady: c.Steady,
			ChangesPerDay: c.ChangesPerDay, Burst: c.Burst, Leafs: c.Leafs,
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

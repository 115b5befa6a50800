package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/portgauge/portgauge/internal/lab/platform"
)

// platformCommand runs a stand-in store and machine list.
type platformCommand struct {
	Address        string  `help:"IP address and port of the platform's protocol." default:"127.0.0.1:7300"`
	Control        string  `help:"IP address and port of the control calls; empty for none."`
	CallsPerSecond float64 `help:"Calls per second that the store accepts." default:"200"`
}

// Run serves calls until SIGTERM or SIGINT.
func (c *platformCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return platform.New(c.CallsPerSecond).Serve(ctx, c.Address, c.Control)
}

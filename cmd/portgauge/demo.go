package main

import (
	"os"

	"github.com/portgauge/portgauge/internal/lab/demo"
)

// demoCommand shows the product at work in one process.
type demoCommand struct{}

// Run runs the demonstration; it ends by itself.
func (c *demoCommand) Run() error { return demo.Run(os.Stdout) }

package main

import (
	"os"

	"github.com/portgauge/portgauge/internal/lab/demo"
)

// demoCommand demonstrates the product in one process.
type demoCommand struct{}

func (c *demoCommand) Run() error { return demo.Run(os.Stdout) }

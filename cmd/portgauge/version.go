package main

import (
	"os"

	"github.com/portgauge/portgauge/internal/node/version"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

type versionCommand struct {
	Output cli.Format `help:"Output format: ${enum}." enum:"json,table" default:"table"`
}

func (c *versionCommand) Run() error {
	info := version.Current()
	return cli.PrintValue(os.Stdout, c.Output, info, []string{"VERSION", "GO", "REVISION"}, [][]string{{info.Version, info.Go, info.Revision}})
}

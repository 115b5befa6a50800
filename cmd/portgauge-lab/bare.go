package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/portgauge/portgauge/internal/lab/bare"
	"github.com/portgauge/portgauge/internal/lab/sample"
)

// bareCommand serves searches by a fan-out without decisions.
type bareCommand struct {
	Address string   `help:"IP number and port to serve on." required:""`
	Leafs   []string `help:"Address of the leaf of each shard, in key order." required:""`
	Records int      `help:"Records of the sample index." default:"4000"`
}

// Run serves until SIGTERM or SIGINT.
func (c *bareCommand) Run() error {
	index, err := sample.Build(sample.Tiles, 1, c.Records, "v1")
	if err != nil {
		return err
	}
	var shards []bare.Shard
	for number, keys := range index.Split(len(c.Leafs)) {
		shards = append(shards, bare.Shard{Keys: keys, Address: c.Leafs[number]})
	}
	server, err := bare.New(shards)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return server.Serve(ctx, c.Address)
}

package main

import (
	"os"

	"github.com/portgauge/portgauge/internal/lab/sample"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// sampleCommand groups the commands that print sample services and manifests.
type sampleCommand struct {
	Service  sampleServiceCommand  `cmd:"" help:"Print a service, for 'portgauge service apply -'."`
	Manifest sampleManifestCommand `cmd:"" help:"Print a manifest, for 'portgauge snapshot publish -'."`
}

// sampleServiceCommand prints a service.
type sampleServiceCommand struct {
	Name  string   `help:"Name of the service." required:""`
	Leafs []string `help:"Leafs as ID=address@zone." required:""`
}

// Run prints the service as JSON.
func (c *sampleServiceCommand) Run() error {
	leafs, err := sample.ParseLeafs(c.Leafs)
	if err != nil {
		return err
	}
	return cli.PrintMessage(os.Stdout, cli.JSON, sample.Service(c.Name, leafs), nil, nil)
}

// sampleManifestCommand prints a manifest.
type sampleManifestCommand struct {
	Service  string         `help:"Name of the service." required:""`
	Snapshot string         `help:"Version of the index." default:"v1"`
	Dataset  sample.Dataset `help:"Sample index: ${enum}." enum:"tiles,invoices" default:"tiles"`
	Seed     uint64         `help:"Seed of the sample index." default:"1"`
	Records  int            `help:"Records of the sample index." default:"4000"`
	Shards   int            `help:"Shards of equal size." default:"4"`
	Replicas int            `help:"Leafs of each shard." default:"2"`
	Leafs    []string       `help:"IDs of the leafs." required:""`
}

// Run prints the manifest as JSON.
func (c *sampleManifestCommand) Run() error {
	index, err := sample.Build(c.Dataset, c.Seed, c.Records, c.Snapshot)
	if err != nil {
		return err
	}
	manifest := sample.Manifest(c.Service, index, c.Shards, c.Replicas, c.Leafs)
	return cli.PrintMessage(os.Stdout, cli.JSON, manifest, nil, nil)
}

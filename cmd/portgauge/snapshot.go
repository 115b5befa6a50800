package main

import (
	"os"
	"strconv"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// snapshotCommand groups the calls about snapshots.
type snapshotCommand struct {
	Publish snapshotPublishCommand `cmd:"" help:"Make a manifest the current one of its service."`
	List    snapshotListCommand    `cmd:"" help:"List the current manifests."`
}

// snapshotPublishCommand publishes a manifest.
type snapshotPublishCommand struct {
	operatorFlags
	writeFlags
	File string `arg:"" help:"Manifest as YAML or JSON; - for standard input."`
}

// Run publishes the manifest and prints the revision that accepted it.
func (c *snapshotPublishCommand) Run() error {
	manifest := &adminv1.SnapshotManifest{}
	if err := cli.ReadMessage(c.File, os.Stdin, manifest); err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).PublishSnapshot(ctx, connect.NewRequest(&adminv1.PublishSnapshotRequest{
		Manifest: manifest, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	}))
	if err != nil {
		return api.FailureOf(err)
	}
	rows := [][]string{{manifest.GetService(), manifest.GetSnapshotId(), strconv.FormatInt(response.Msg.GetRevision(), 10)}}
	return cli.PrintMessage(os.Stdout, c.Output, response.Msg, []string{"SERVICE", "SNAPSHOT", "REVISION"}, rows)
}

// snapshotListCommand lists manifests.
type snapshotListCommand struct {
	operatorFlags
	Service string `arg:"" optional:"" help:"Only this service's."`
}

// Run prints the current manifests.
func (c *snapshotListCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).ListSnapshots(ctx, connect.NewRequest(&adminv1.ListSnapshotsRequest{Service: c.Service}))
	if err != nil {
		return api.FailureOf(err)
	}
	var rows [][]string
	for _, snapshot := range response.Msg.GetSnapshots() {
		manifest := snapshot.GetManifest()
		rows = append(rows, []string{
			manifest.GetService(), manifest.GetSnapshotId(), strconv.Itoa(len(manifest.GetShards())), strconv.FormatInt(snapshot.GetRevision(), 10),
		})
	}
	return cli.PrintMessage(os.Stdout, c.Output, response.Msg, []string{"SERVICE", "SNAPSHOT", "SHARDS", "REVISION"}, rows)
}

package main

import (
	"os"
	"strconv"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// snapshotCommand groups the commands for snapshots.
type snapshotCommand struct {
	Publish snapshotPublishCommand `cmd:"" help:"Publish a manifest as the current snapshot of its service."`
	List    snapshotListCommand    `cmd:"" help:"List the current snapshots."`
}

type snapshotPublishCommand struct {
	operatorFlags
	writeFlags
	File string `arg:"" help:"Manifest as YAML or JSON; - for standard input."`
}

// Run publishes the manifest and prints its revision.
func (c *snapshotPublishCommand) Run() error {
	manifest := &adminv1.SnapshotManifest{}
	if err := cli.ReadMessage(c.File, os.Stdin, manifest); err != nil {
		return err
	}
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.PublishSnapshot, &adminv1.PublishSnapshotRequest{
		Manifest: manifest, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	rows := [][]string{{manifest.GetService(), manifest.GetSnapshotId(), strconv.FormatInt(response.GetRevision(), 10)}}
	return cli.PrintMessage(os.Stdout, c.Output, response, []string{"SERVICE", "SNAPSHOT", "REVISION"}, rows)
}

type snapshotListCommand struct {
	operatorFlags
	Service string `arg:"" optional:"" help:"List only the snapshot of this service."`
}

// Run prints the current snapshots.
func (c *snapshotListCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.ListSnapshots, &adminv1.ListSnapshotsRequest{Service: c.Service})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, snapshot := range response.GetSnapshots() {
		manifest := snapshot.GetManifest()
		rows = append(rows, []string{
			manifest.GetService(), manifest.GetSnapshotId(), strconv.Itoa(len(manifest.GetShards())), strconv.FormatInt(snapshot.GetRevision(), 10),
		})
	}
	return cli.PrintMessage(os.Stdout, c.Output, response, []string{"SERVICE", "SNAPSHOT", "SHARDS", "REVISION"}, rows)
}

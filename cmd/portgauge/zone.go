package main

import (
	"os"
	"strconv"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// zoneCommand groups the calls about evacuations.
type zoneCommand struct {
	Evacuate zoneEvacuateCommand `cmd:"" help:"Send nothing more to the leafs of a zone."`
	Restore  zoneRestoreCommand  `cmd:"" help:"End the evacuation of a zone."`
	List     zoneListCommand     `cmd:"" help:"List the evacuated zones with the revisions of their evacuations."`
}

// zoneEvacuateCommand evacuates a zone.
type zoneEvacuateCommand struct {
	operatorFlags
	Zone     string `arg:"" help:"Zone whose leafs must get nothing."`
	ChangeID string `help:"Identity of the change; give the same one to repeat a call whose outcome is unknown."`
}

// Run evacuates the zone and prints the revision that accepted it.
func (c *zoneEvacuateCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).EvacuateZone(ctx, connect.NewRequest(&adminv1.EvacuateZoneRequest{Zone: c.Zone, ChangeId: c.ChangeID}))
	if err != nil {
		return api.FailureOf(err)
	}
	return printZoneRevision(c.Output, response.Msg, c.Zone, response.Msg.GetRevision())
}

// zoneRestoreCommand ends an evacuation.
type zoneRestoreCommand struct {
	operatorFlags
	writeFlags
	Zone string `arg:"" help:"Zone whose leafs take work again."`
}

// Run ends the evacuation and prints the revision that accepted it.
func (c *zoneRestoreCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).RestoreZone(ctx, connect.NewRequest(&adminv1.RestoreZoneRequest{
		Zone: c.Zone, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	}))
	if err != nil {
		return api.FailureOf(err)
	}
	return printZoneRevision(c.Output, response.Msg, c.Zone, response.Msg.GetRevision())
}

// zoneListCommand lists the evacuated zones.
type zoneListCommand struct {
	operatorFlags
}

// Run prints the evacuations in force on the node.
func (c *zoneListCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).ListEvacuatedZones(ctx, connect.NewRequest(&adminv1.ListEvacuatedZonesRequest{}))
	if err != nil {
		return api.FailureOf(err)
	}
	var rows [][]string
	for _, zone := range response.Msg.GetZones() {
		rows = append(rows, []string{zone.GetZone(), strconv.FormatInt(zone.GetRevision(), 10)})
	}
	return cli.PrintMessage(os.Stdout, c.Output, response.Msg, zoneHeader(), rows)
}

func zoneHeader() []string { return []string{"ZONE", "REVISION"} }

// printZoneRevision prints a change of a zone with the revision that accepted it.
func printZoneRevision(format cli.Format, message proto.Message, zone string, revision int64) error {
	return cli.PrintMessage(os.Stdout, format, message, zoneHeader(), [][]string{{zone, strconv.FormatInt(revision, 10)}})
}

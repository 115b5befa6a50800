package main

import (
	"os"
	"strconv"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// zoneCommand groups the commands for evacuations.
type zoneCommand struct {
	Evacuate zoneEvacuateCommand `cmd:"" help:"Stop sending requests to the leafs of a zone."`
	Restore  zoneRestoreCommand  `cmd:"" help:"End the evacuation of a zone, so that its leafs receive requests again."`
	List     zoneListCommand     `cmd:"" help:"List the evacuated zones and the revisions of their evacuations."`
}

type zoneEvacuateCommand struct {
	operatorFlags
	Zone     string `arg:"" help:"Zone to evacuate."`
	ChangeID string `help:"ID of the change; made by the node if empty. Repeat a call whose outcome is unknown with the same ID."`
}

// Run evacuates the zone and prints the revision of the evacuation.
func (c *zoneEvacuateCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.EvacuateZone, &adminv1.EvacuateZoneRequest{Zone: c.Zone, ChangeId: c.ChangeID})
	if err != nil {
		return err
	}
	return printRevision(c.Output, response, "ZONE", c.Zone, response.GetRevision())
}

type zoneRestoreCommand struct {
	operatorFlags
	writeFlags
	Zone string `arg:"" help:"Zone to restore."`
}

// Run ends the evacuation and prints the revision of the change.
func (c *zoneRestoreCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.RestoreZone, &adminv1.RestoreZoneRequest{
		Zone: c.Zone, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	return printRevision(c.Output, response, "ZONE", c.Zone, response.GetRevision())
}

type zoneListCommand struct {
	operatorFlags
}

// Run prints the evacuations in force on the node.
func (c *zoneListCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.ListEvacuatedZones, &adminv1.ListEvacuatedZonesRequest{})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, zone := range response.GetZones() {
		rows = append(rows, []string{zone.GetZone(), strconv.FormatInt(zone.GetRevision(), 10)})
	}
	return cli.PrintMessage(os.Stdout, c.Output, response, []string{"ZONE", "REVISION"}, rows)
}

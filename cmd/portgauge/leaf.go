package main

import (
	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
)

// leafCommand groups the commands for the leafs that serve routes.
type leafCommand struct {
	Apply  leafApplyCommand  `cmd:"" help:"Add or replace the record of a leaf."`
	Delete leafDeleteCommand `cmd:"" help:"Delete the record of a leaf."`
}

type leafApplyCommand struct {
	operatorFlags
	writeFlags
	ID          string `arg:"" help:"ID of this incarnation of the leaf."`
	Service     string `help:"Service that the leaf belongs to." required:""`
	LeafAddress string `help:"IP address and port of the leaf." required:""`
	Zone        string `help:"Zone of the leaf."`
	Version     string `help:"Version of the leaf's software."`
	Draining    bool   `help:"Send no new requests to the leaf."`
}

// Run writes the record and prints its new revision.
func (c *leafApplyCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.ApplyLeaf, &adminv1.ApplyLeafRequest{
		Leaf: &adminv1.LeafRecord{
			Id: c.ID, Service: c.Service, Address: c.LeafAddress, Zone: c.Zone, Version: c.Version, Draining: c.Draining,
		},
		ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	return printRevision(c.Output, response, "LEAF", c.ID, response.GetRevision())
}

type leafDeleteCommand struct {
	operatorFlags
	writeFlags
	ID string `arg:"" help:"ID of the leaf to delete."`
}

// Run deletes the record and prints the revision of the deletion.
func (c *leafDeleteCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.DeleteLeaf, &adminv1.DeleteLeafRequest{
		Id: c.ID, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	return printRevision(c.Output, response, "LEAF", c.ID, response.GetRevision())
}

package main

import (
	"os"
	"strconv"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// leafCommand groups the calls about leafs that routes are served by.
type leafCommand struct {
	Apply  leafApplyCommand  `cmd:"" help:"Add or replace the record of a leaf."`
	Delete leafDeleteCommand `cmd:"" help:"Remove the record of a leaf."`
}

// leafApplyCommand adds or replaces a leaf.
type leafApplyCommand struct {
	operatorFlags
	writeFlags
	ID          string `arg:"" help:"Identity of this start of the leaf."`
	Service     string `help:"Service that the leaf belongs to." required:""`
	LeafAddress string `help:"IP number and port of the leaf." required:""`
	Zone        string `help:"Zone of the leaf."`
	Version     string `help:"Version of the leaf's software."`
	Draining    bool   `help:"The leaf must get no new work."`
}

// Run writes the record and prints the revision that accepted it.
func (c *leafApplyCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).ApplyLeaf(ctx, connect.NewRequest(&adminv1.ApplyLeafRequest{
		Leaf: &adminv1.LeafRecord{
			Id: c.ID, Service: c.Service, Address: c.LeafAddress, Zone: c.Zone, Version: c.Version, Draining: c.Draining,
		},
		ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	}))
	if err != nil {
		return api.FailureOf(err)
	}
	rows := [][]string{{c.ID, strconv.FormatInt(response.Msg.GetRevision(), 10)}}
	return cli.PrintMessage(os.Stdout, c.Output, response.Msg, []string{"LEAF", "REVISION"}, rows)
}

// leafDeleteCommand removes a leaf.
type leafDeleteCommand struct {
	operatorFlags
	writeFlags
	ID string `arg:"" help:"Leaf to remove."`
}

// Run removes the record.
func (c *leafDeleteCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).DeleteLeaf(ctx, connect.NewRequest(&adminv1.DeleteLeafRequest{
		Id: c.ID, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	}))
	if err != nil {
		return api.FailureOf(err)
	}
	rows := [][]string{{c.ID, strconv.FormatInt(response.Msg.GetRevision(), 10)}}
	return cli.PrintMessage(os.Stdout, c.Output, response.Msg, []string{"LEAF", "REVISION"}, rows)
}

package main

import (
	"os"
	"strconv"
	"strings"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// quarantineCommand groups the calls about requests that end leafs.
type quarantineCommand struct {
	List quarantineListCommand `cmd:"" help:"List the requests that go to no leaf, since leafs ended while they ran them."`
	Lift quarantineLiftCommand `cmd:"" help:"Let a request go to leafs again."`
}

// quarantineListCommand lists the requests under quarantine.
type quarantineListCommand struct {
	operatorFlags
}

// Run prints the requests under quarantine that are in force on the node.
func (c *quarantineListCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).ListQuarantine(ctx, connect.NewRequest(&adminv1.ListQuarantineRequest{}))
	if err != nil {
		return api.FailureOf(err)
	}
	var rows [][]string
	for _, request := range response.Msg.GetRequests() {
		rows = append(rows, []string{
			request.GetContent(), request.GetPath(), request.GetCaller(), strings.Join(request.GetLeafs(), ","),
			strconv.Itoa(int(request.GetTrials())), request.GetFoundBy(), strconv.FormatInt(request.GetRevision(), 10),
		})
	}
	header := []string{"CONTENT", "PATH", "CALLER", "ENDED LEAFS", "TRIALS", "FOUND BY", "REVISION"}
	return cli.PrintMessage(os.Stdout, c.Output, response.Msg, header, rows)
}

// quarantineLiftCommand lifts the quarantine of a request.
type quarantineLiftCommand struct {
	operatorFlags
	writeFlags
	Content string `arg:"" help:"Content of the request, as it is listed."`
}

// Run lifts the quarantine and prints the revision that accepted it.
func (c *quarantineLiftCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).LiftQuarantine(ctx, connect.NewRequest(&adminv1.LiftQuarantineRequest{
		Content: c.Content, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	}))
	if err != nil {
		return api.FailureOf(err)
	}
	row := []string{c.Content, strconv.FormatInt(response.Msg.GetRevision(), 10)}
	return cli.PrintMessage(os.Stdout, c.Output, response.Msg, []string{"CONTENT", "REVISION"}, [][]string{row})
}

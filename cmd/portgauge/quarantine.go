package main

import (
	"os"
	"strconv"
	"strings"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// quarantineCommand groups the commands for quarantined requests.
type quarantineCommand struct {
	List quarantineListCommand `cmd:"" help:"List the requests that are sent to no leaf because leafs crashed while they ran them."`
	Lift quarantineLiftCommand `cmd:"" help:"Lift the quarantine of a request, so that it is sent to leafs again."`
}

type quarantineListCommand struct {
	operatorFlags
}

// Run prints the quarantined requests in force on the node.
func (c *quarantineListCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.ListQuarantine, &adminv1.ListQuarantineRequest{})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, request := range response.GetRequests() {
		rows = append(rows, []string{
			request.GetContent(), request.GetPath(), request.GetCaller(), strings.Join(request.GetLeafs(), ","),
			strconv.Itoa(int(request.GetTrials())), request.GetFoundBy(), strconv.FormatInt(request.GetRevision(), 10),
		})
	}
	header := []string{"CONTENT", "PATH", "CALLER", "ENDED LEAFS", "TRIALS", "FOUND BY", "REVISION"}
	return cli.PrintMessage(os.Stdout, c.Output, response, header, rows)
}

type quarantineLiftCommand struct {
	operatorFlags
	writeFlags
	Content string `arg:"" help:"Fingerprint of the request, from the column CONTENT of the list."`
}

// Run lifts the quarantine and prints the revision of the change.
func (c *quarantineLiftCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.LiftQuarantine, &adminv1.LiftQuarantineRequest{
		Content: c.Content, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	return printRevision(c.Output, response, "CONTENT", c.Content, response.GetRevision())
}

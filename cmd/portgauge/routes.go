package main

import (
	"fmt"
	"os"
	"strconv"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/internal/operator/cli"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// routesCommand groups the commands for routes.
type routesCommand struct {
	Check routesCheckCommand `cmd:"" help:"Check a routing configuration and list all errors."`
	Apply routesApplyCommand `cmd:"" help:"Replace the routing configuration from a file or standard input."`
	Get   routesGetCommand   `cmd:"" help:"Show the routing configuration in force on a node; the JSON output includes its age."`
}

// routesCheckCommand checks a file without calling a node.
type routesCheckCommand struct {
	File string `arg:"" help:"Routing configuration as YAML or JSON; - for standard input."`
}

// Run prints the number of routes, or returns all errors in the file.
func (c *routesCheckCommand) Run() error {
	document, err := cli.ReadDocument(c.File, os.Stdin)
	if err != nil {
		return err
	}
	configuration, err := routing.Parse(document)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s: %d routes, no faults found\n", c.File, len(configuration.Routes))
	return err
}

type routesApplyCommand struct {
	operatorFlags
	writeFlags
	File string `arg:"" help:"Routing configuration as YAML or JSON; - for standard input."`
}

// Run writes the configuration and prints its new revision.
func (c *routesApplyCommand) Run() error {
	document, err := cli.ReadDocument(c.File, os.Stdin)
	if err != nil {
		return err
	}
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.ApplyRoutes, &adminv1.ApplyRoutesRequest{
		Document: string(document), ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	rows := [][]string{{strconv.FormatInt(response.GetRevision(), 10), response.GetChangeId()}}
	return cli.PrintMessage(os.Stdout, c.Output, response, []string{"REVISION", "CHANGE"}, rows)
}

type routesGetCommand struct {
	operatorFlags
}

// Run prints the routes in force on the node.
func (c *routesGetCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.GetRoutes, &adminv1.GetRoutesRequest{})
	if err != nil {
		return err
	}
	configuration, err := routing.Parse([]byte(response.GetDocument()))
	if err != nil {
		return err
	}
	var rows [][]string
	for _, route := range configuration.Routes {
		rows = append(rows, []string{
			strconv.FormatInt(response.GetVersion(), 10), strconv.FormatInt(response.GetRevision(), 10),
			route.Name, route.Host, route.Prefix, targetOf(route), string(route.Repeatability),
		})
	}
	return cli.PrintMessage(os.Stdout, c.Output, response, []string{"VERSION", "REVISION", "ROUTE", "HOST", "PREFIX", "TARGET", "REPEATABILITY"}, rows)
}

func targetOf(route routing.Route) string {
	switch {
	case len(route.Gathered) > 0:
		return fmt.Sprintf("%d gathered", len(route.Gathered))
	case len(route.Weighted) > 0:
		return fmt.Sprintf("%d weighted", len(route.Weighted))
	}
	return route.Service
}

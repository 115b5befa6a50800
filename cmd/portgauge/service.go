package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// serviceCommand groups the commands for services.
type serviceCommand struct {
	Apply  serviceApplyCommand  `cmd:"" help:"Create or replace a service from a file or standard input."`
	Get    serviceGetCommand    `cmd:"" help:"Show one service."`
	List   serviceListCommand   `cmd:"" help:"List all services."`
	Delete serviceDeleteCommand `cmd:"" help:"Delete a service."`
	Watch  serviceWatchCommand  `cmd:"" help:"Print each change of the configuration as it comes into force on a node."`
	Status serviceStatusCommand `cmd:"" help:"Show by zone how many nodes have a revision in force."`
}

type serviceApplyCommand struct {
	operatorFlags
	writeFlags
	File string `arg:"" help:"Service as YAML or JSON; - for standard input."`
}

// Run writes the service and prints its new revision.
func (c *serviceApplyCommand) Run() error {
	spec := &adminv1.ServiceSpec{}
	if err := cli.ReadMessage(c.File, os.Stdin, spec); err != nil {
		return err
	}
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.ApplyService, &adminv1.ApplyServiceRequest{
		Spec: spec, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	rows := [][]string{{spec.GetName(), strconv.FormatInt(response.GetRevision(), 10), response.GetChangeId()}}
	return cli.PrintMessage(os.Stdout, c.Output, response, []string{"SERVICE", "REVISION", "CHANGE"}, rows)
}

type serviceGetCommand struct {
	operatorFlags
	Name string `arg:"" help:"Service to show."`
}

func (c *serviceGetCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.GetService, &adminv1.GetServiceRequest{Name: c.Name})
	if err != nil {
		return err
	}
	return cli.PrintMessage(os.Stdout, c.Output, response, serviceHeader(), [][]string{serviceRow(response)})
}

func serviceHeader() []string {
	return []string{"SERVICE", "REVISION", "URGENCY", "DEADLINE MS", "CONCURRENCY", "QUEUE", "LEAFS"}
}

func serviceRow(service *adminv1.GetServiceResponse) []string {
	spec := service.GetSpec()
	return []string{
		spec.GetName(), strconv.FormatInt(service.GetRevision(), 10), spec.GetUrgency().String(),
		strconv.FormatUint(uint64(spec.GetDefaultDeadlineMillis()), 10), strconv.FormatUint(uint64(spec.GetConcurrencyLimit()), 10),
		strconv.FormatUint(uint64(spec.GetQueueLimit()), 10), strconv.Itoa(len(spec.GetLeafs())),
	}
}

type serviceListCommand struct {
	operatorFlags
}

func (c *serviceListCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.ListServices, &adminv1.ListServicesRequest{})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, service := range response.GetServices() {
		rows = append(rows, serviceRow(service))
	}
	return cli.PrintMessage(os.Stdout, c.Output, response, serviceHeader(), rows)
}

type serviceDeleteCommand struct {
	operatorFlags
	writeFlags
	Name string `arg:"" help:"Service to delete."`
}

// Run deletes the service if it still has the given revision.
func (c *serviceDeleteCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.DeleteService, &adminv1.DeleteServiceRequest{
		Name: c.Name, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	return printRevision(c.Output, response, "DELETED", c.Name, response.GetRevision())
}

// serviceWatchCommand prints changes of the configuration.
type serviceWatchCommand struct {
	Address string     `help:"Operator address of a node." default:"127.0.0.1:7401"`
	Output  cli.Format `help:"Output format: ${enum}." enum:"json,table" default:"table"`
	After   int64      `help:"Also print earlier changes after this revision, as far as the node still has them."`
}

// Run prints changes until it is interrupted.
func (c *serviceWatchCommand) Run() error {
	stream, err := cli.AdminClient(c.Address).WatchServices(context.Background(), connect.NewRequest(&adminv1.WatchServicesRequest{AfterRevision: c.After}))
	if err != nil {
		return api.FailureOf(err)
	}
	for stream.Receive() {
		change := stream.Msg()
		rows := [][]string{{strconv.FormatInt(change.GetRevision(), 10), change.GetKey(), strconv.FormatBool(change.GetDeleted())}}
		if err := cli.PrintMessage(os.Stdout, c.Output, change, []string{"REVISION", "KEY", "DELETED"}, rows); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return api.FailureOf(err)
	}
	return nil
}

type serviceStatusCommand struct {
	operatorFlags
	Revision int64 `help:"Revision to look for; 0 means the revision in force on the node that is called."`
	Wait     bool  `help:"Wait until every node that answers has the revision in force."`
}

// statusPause is the pause between two status calls with --wait.
const statusPause = 200 * time.Millisecond

// Run prints by zone how many nodes have the revision in force.
func (c *serviceStatusCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	client := cli.AdminClient(c.Address)
	for {
		response, err := client.GetStatus(ctx, connect.NewRequest(&adminv1.GetStatusRequest{Revision: c.Revision}))
		if err != nil {
			return api.FailureOf(err)
		}
		if c.Revision == 0 {
			c.Revision = response.Msg.GetRevision()
		}
		if !c.Wait || inForceEverywhere(response.Msg) {
			return c.print(response.Msg)
		}
		select {
		case <-ctx.Done():
			return failure.New(failure.DeadlineExceeded, failure.Unknown, "revision %d did not come into force on all nodes within the timeout", c.Revision)
		case <-time.After(statusPause):
		}
	}
}

func inForceEverywhere(status *adminv1.GetStatusResponse) bool {
	for _, zone := range status.GetZones() {
		if zone.GetInForce() < zone.GetNodes() {
			return false
		}
	}
	return len(status.GetZones()) > 0
}

func (c *serviceStatusCommand) print(status *adminv1.GetStatusResponse) error {
	var rows [][]string
	for _, zone := range status.GetZones() {
		rows = append(rows, []string{
			zone.GetZone(), fmt.Sprint(zone.GetNodes()), fmt.Sprint(zone.GetInForce()), fmt.Sprint(zone.GetLowestRevision()),
		})
	}
	return cli.PrintMessage(os.Stdout, c.Output, status, []string{"ZONE", "NODES", "IN FORCE", "LOWEST REVISION"}, rows)
}

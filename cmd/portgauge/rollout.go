package main

import (
	"os"
	"strconv"
	"strings"
	"time"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// rolloutCommand groups the commands for rollouts.
type rolloutCommand struct {
	Start  rolloutStartCommand  `cmd:"" help:"Move a service to the leafs of a version, unless the version fails its evaluation."`
	Status rolloutStatusCommand `cmd:"" help:"Show the phase of a service's rollout and the reason for it."`
	Cancel rolloutCancelCommand `cmd:"" help:"Cancel a rollout; unless it has succeeded, the version before it continues to serve."`
	List   rolloutListCommand   `cmd:"" help:"List the rollouts of all services."`
}

type rolloutStartCommand struct {
	operatorFlags
	writeFlags
	Service  string        `arg:"" help:"Service to move."`
	Target   string        `arg:"" help:"Version to move to; its leafs must run in addition to the leafs that serve now."`
	Duration time.Duration `help:"How long the rollout may take; if it is undecided by then, it is rolled back." default:"10m"`
}

// Run writes the rollout spec and prints its revision.
func (c *rolloutStartCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.StartRollout, &adminv1.StartRolloutRequest{
		Service: c.Service, Target: c.Target, DurationMillis: c.Duration.Milliseconds(), ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	return printRevision(c.Output, response, "SERVICE", c.Service, response.GetRevision())
}

type rolloutCancelCommand struct {
	operatorFlags
	writeFlags
	Service string `arg:"" help:"Service whose rollout is cancelled."`
}

// Run deletes the rollout spec and prints the revision of the change.
func (c *rolloutCancelCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.CancelRollout, &adminv1.CancelRolloutRequest{
		Service: c.Service, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	})
	if err != nil {
		return err
	}
	return printRevision(c.Output, response, "SERVICE", c.Service, response.GetRevision())
}

type rolloutStatusCommand struct {
	operatorFlags
	Service string `arg:"" help:"Service to show."`
}

// Run prints the rollout as in force on the node.
func (c *rolloutStatusCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.GetRollout, &adminv1.GetRolloutRequest{Service: c.Service})
	if err != nil {
		return err
	}
	return cli.PrintMessage(os.Stdout, c.Output, response, rolloutHeader(), [][]string{rolloutRow(response.GetRollout())})
}

type rolloutListCommand struct {
	operatorFlags
}

// Run prints the rollouts as in force on the node.
func (c *rolloutListCommand) Run() error {
	response, err := call(&c.operatorFlags, adminv1connect.AdminServiceClient.ListRollouts, &adminv1.ListRolloutsRequest{})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, rollout := range response.GetRollouts() {
		rows = append(rows, rolloutRow(rollout))
	}
	return cli.PrintMessage(os.Stdout, c.Output, response, rolloutHeader(), rows)
}

func rolloutHeader() []string {
	return []string{"SERVICE", "SERVING", "TARGET", "PHASE", "ORDER", "STATE", "DECIDED BY", "REASON"}
}

func rolloutRow(rollout *adminv1.Rollout) []string {
	phase := strings.ToLower(strings.TrimPrefix(rollout.GetPhase().String(), "ROLLOUT_PHASE_"))
	if rollout.GetPhase() == adminv1.RolloutPhase_ROLLOUT_PHASE_UNSPECIFIED {
		phase = "ordered"
	}
	return []string{
		rollout.GetService(), rollout.GetServing(), rollout.GetTarget(), phase, strconv.FormatInt(rollout.GetOrderRevision(), 10),
		strconv.FormatInt(rollout.GetStateRevision(), 10), rollout.GetDecidedBy(), rollout.GetReason(),
	}
}

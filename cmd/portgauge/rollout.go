package main

import (
	"os"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// rolloutCommand groups the calls about roll-outs.
type rolloutCommand struct {
	Start  rolloutStartCommand  `cmd:"" help:"Order that a service moves to the leafs of a version, if they prove good."`
	Status rolloutStatusCommand `cmd:"" help:"Show how far the roll-out of a service is, and why."`
	Cancel rolloutCancelCommand `cmd:"" help:"Take an order back; the version before it serves on."`
	List   rolloutListCommand   `cmd:"" help:"List the roll-outs of all services."`
}

// rolloutStartCommand orders a roll-out.
type rolloutStartCommand struct {
	operatorFlags
	writeFlags
	Service  string        `arg:"" help:"Service to move."`
	Target   string        `arg:"" help:"Version that is to serve; its leafs stand beside those that serve now."`
	Duration time.Duration `help:"How long the roll-out may take; without a verdict by then it is rolled back." default:"10m"`
}

// Run writes the order and prints the revision that accepted it.
func (c *rolloutStartCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).StartRollout(ctx, connect.NewRequest(&adminv1.StartRolloutRequest{
		Service: c.Service, Target: c.Target, DurationMillis: c.Duration.Milliseconds(), ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	}))
	if err != nil {
		return api.FailureOf(err)
	}
	return printOrder(c.Output, response.Msg, c.Service, response.Msg.GetRevision())
}

// rolloutCancelCommand takes an order back.
type rolloutCancelCommand struct {
	operatorFlags
	writeFlags
	Service string `arg:"" help:"Service whose order is taken back."`
}

// Run takes the order back and prints the revision that accepted it.
func (c *rolloutCancelCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).CancelRollout(ctx, connect.NewRequest(&adminv1.CancelRolloutRequest{
		Service: c.Service, ExpectedRevision: c.Revision, ChangeId: c.ChangeID,
	}))
	if err != nil {
		return api.FailureOf(err)
	}
	return printOrder(c.Output, response.Msg, c.Service, response.Msg.GetRevision())
}

// printOrder prints a change of an order with the revision that accepted it.
func printOrder(format cli.Format, message proto.Message, service string, revision int64) error {
	return cli.PrintMessage(os.Stdout, format, message, []string{"SERVICE", "REVISION"}, [][]string{{service, strconv.FormatInt(revision, 10)}})
}

// rolloutStatusCommand shows one roll-out.
type rolloutStatusCommand struct {
	operatorFlags
	Service string `arg:"" help:"Service to show."`
}

// Run prints the roll-out as the asked node has it in force.
func (c *rolloutStatusCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).GetRollout(ctx, connect.NewRequest(&adminv1.GetRolloutRequest{Service: c.Service}))
	if err != nil {
		return api.FailureOf(err)
	}
	return cli.PrintMessage(os.Stdout, c.Output, response.Msg, rolloutHeader(), [][]string{rolloutRow(response.Msg.GetRollout())})
}

// rolloutListCommand lists all roll-outs.
type rolloutListCommand struct {
	operatorFlags
}

// Run prints the roll-outs as the asked node has them in force.
func (c *rolloutListCommand) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	response, err := cli.AdminClient(c.Address).ListRollouts(ctx, connect.NewRequest(&adminv1.ListRolloutsRequest{}))
	if err != nil {
		return api.FailureOf(err)
	}
	var rows [][]string
	for _, one := range response.Msg.GetRollouts() {
		rows = append(rows, rolloutRow(one))
	}
	return cli.PrintMessage(os.Stdout, c.Output, response.Msg, rolloutHeader(), rows)
}

func rolloutHeader() []string {
	return []string{"SERVICE", "SERVING", "TARGET", "PHASE", "ORDER", "STATE", "DECIDED BY", "REASON"}
}

func rolloutRow(one *adminv1.Rollout) []string {
	phase := strings.ToLower(strings.TrimPrefix(one.GetPhase().String(), "ROLLOUT_PHASE_"))
	if one.GetPhase() == adminv1.RolloutPhase_ROLLOUT_PHASE_UNSPECIFIED {
		phase = "ordered"
	}
	return []string{
		one.GetService(), one.GetServing(), one.GetTarget(), phase, strconv.FormatInt(one.GetOrderRevision(), 10),
		strconv.FormatInt(one.GetStateRevision(), 10), one.GetDecidedBy(), one.GetReason(),
	}
}

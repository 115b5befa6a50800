package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/portgauge/portgauge/internal/lab/control"
	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/load"
	"github.com/portgauge/portgauge/internal/lab/process"
)

// Shape of the brownout experiment.
const (
	brownoutPerSecond = 60
	brownoutBefore    = 4
	brownoutLost      = 6
	brownoutAfter     = 5
)

// runBrownout loses one zone of three, whose leafs refuse everything, and brings it back; it
// prints coverage and the attempts at leafs for each second.
func runBrownout(ctx context.Context, options Options, programs process.Programs, output io.Writer) error {
	zones := []string{"aarhus-a", "aarhus-b", "vejle-hall"}
	plan := leafPlan{count: 24, slots: 16, queuePerSlot: 16, median: 2 * time.Millisecond, zones: zones}
	services := []servicePlan{{spec: wideSpec("hedged", true), shards: 24, replicas: 3, end: plan.count}}
	c, err := startCluster(ctx, programs, plan, []nodePlan{{name: "today", zone: zones[0]}}, services)
	if err != nil {
		return err
	}
	defer c.stop()
	var normal, worst float64
	for second := range brownoutBefore + brownoutLost + brownoutAfter {
		switch second {
		case brownoutBefore:
			err = c.setZone(ctx, 1, leaf.Faults{LoseReplyShare: 1})
		case brownoutBefore + brownoutLost:
			err = c.setZone(ctx, 1, leaf.Faults{})
		}
		if err != nil {
			return err
		}
		var before, after leaf.GroupCounts
		if err := control.Get(ctx, c.control, "/counts", &before); err != nil {
			return err
		}
		result, err := c.run(ctx, "today", load.Config{
			Service: "hedged", PerSecond: rateOr(options, brownoutPerSecond), Duration: time.Second, Deadline: tailDeadline, Limit: tailPageSize, Seed: uint64(second),
		})
		if err != nil {
			return err
		}
		if err := control.Get(ctx, c.control, "/counts", &after); err != nil {
			return err
		}
		perQuery := float64(after.Executions+after.Refusals-before.Executions-before.Refusals) / float64(max(result.Sent, 1)) / float64(24)
		if second < brownoutBefore {
			normal = perQuery
		}
		worst = max(worst, perQuery)
		if _, err := fmt.Fprintf(output, "second %2d: coverage %.4f, p99 %.1f ms, leaf attempts %.3f of the plan, failures %v\n",
			second, result.Coverage, result.AnswerMillis.P99, perQuery, result.Failures); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(output, "worst second %.3f of the plan's attempts (before the loss %.3f; aim 1.1)\n", worst, normal)
	return err
}

// setZone changes the faults of all leafs of one zone.
func (c *cluster) setZone(ctx context.Context, zone int, faults leaf.Faults) error {
	for number := zone; number < c.plan.count; number += len(c.plan.zones) {
		if err := c.setFaults(ctx, number, number+1, faults); err != nil {
			return err
		}
	}
	return nil
}

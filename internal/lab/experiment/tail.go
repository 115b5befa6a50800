package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/load"
	"github.com/portgauge/portgauge/internal/lab/process"
)

// Shape of the tail experiment: a query asks 64 shards of 3 replicas each.
const (
	tailShards     = 64
	tailReplicas   = 3
	tailPerSecond  = 60
	tailDeadline   = 2 * time.Second
	tailPageSize   = 50
	stragglerShare = 0.01
	stragglerLow   = 20
	stragglerHigh  = 100
	warmUp         = 3 * time.Second
	zoneName       = "aarhus-a"
)

// baselineSettings turn a node's decisions off: any replica at random.
var baselineSettings = map[string]string{"balancer.method": "random"}

func wideSpec(name string, hedge bool) *adminv1.ServiceSpec {
	return &adminv1.ServiceSpec{
		Name: name, MaxDeadlineMillis: 30_000, ConcurrencyLimit: 4096, QueueLimit: 1000, Hedge: &adminv1.HedgePolicy{Disabled: !hedge},
	}
}

// startTail starts a baseline node and today's before the same leafs.
func startTail(ctx context.Context, programs process.Programs) (*cluster, error) {
	// Each leaf holds up to three neighbouring shards.
	plan := leafPlan{count: tailShards + tailReplicas - 1, slots: 16, queuePerSlot: 16, median: 2 * time.Millisecond, zones: []string{zoneName}}
	nodes := []nodePlan{{name: "baseline", zone: zoneName, set: baselineSettings}, {name: "today", zone: zoneName}}
	services := []servicePlan{
		{spec: wideSpec("plain", false), shards: tailShards, replicas: tailReplicas, end: plan.count},
		{spec: wideSpec("hedged", true), shards: tailShards, replicas: tailReplicas, end: plan.count},
	}
	return startCluster(ctx, programs, plan, nodes, services)
}

// tailArm is one arm of an experiment on the tail cluster.
type tailArm struct {
	arm
	node    string
	service string
	faults  leaf.Faults
	// everyNth leaf has the faults; 0 means all.
	everyNth int
}

// runTailArms runs arms in turn on the same arrivals; each begins with a warm-up.
func runTailArms(ctx context.Context, c *cluster, options Options, rate float64, arms []*tailArm) error {
	for repetition := range options.Repetitions {
		for _, measured := range arms {
			if err := c.setFaults(ctx, 0, c.plan.count, leaf.Faults{}); err != nil {
				return err
			}
			if err := c.setEveryNth(ctx, max(measured.everyNth, 1), measured.faults); err != nil {
				return err
			}
			config := load.Config{Service: measured.service, PerSecond: rate, Duration: warmUp, Deadline: tailDeadline, Limit: tailPageSize, Seed: uint64(1000 + repetition)}
			if _, err := c.run(ctx, measured.node, config); err != nil {
				return err
			}
			config.Duration, config.Seed = options.Slice, uint64(repetition)
			result, err := c.run(ctx, measured.node, config)
			if err != nil {
				return err
			}
			measured.results = append(measured.results, result)
		}
	}
	return nil
}

// setEveryNth changes the faults of every nth leaf. The replicas of a shard are neighbours, so
// that with n replicas exactly one of each shard is among them.
func (c *cluster) setEveryNth(ctx context.Context, nth int, faults leaf.Faults) error {
	if nth == 1 {
		return c.setFaults(ctx, 0, c.plan.count, faults)
	}
	for number := 0; number < c.plan.count; number += nth {
		if err := c.setFaults(ctx, number, number+1, faults); err != nil {
			return err
		}
	}
	return nil
}

func rateOr(options Options, otherwise float64) float64 {
	if options.PerSecond > 0 {
		return options.PerSecond
	}
	return otherwise
}

// runTail measures the tail with independent stragglers against no hedging at all, and
// against the same leafs without stragglers.
func runTail(ctx context.Context, options Options, programs process.Programs, output io.Writer) error {
	c, err := startTail(ctx, programs)
	if err != nil {
		return err
	}
	defer c.stop()
	straggling := leaf.Faults{StragglerShare: stragglerShare, StragglerLow: stragglerLow, StragglerHigh: stragglerHigh}
	baseline := &tailArm{arm: arm{name: "random, no hedge"}, node: "baseline", service: "plain", faults: straggling}
	today := &tailArm{arm: arm{name: "today"}, node: "today", service: "hedged", faults: straggling}
	clean := &tailArm{arm: arm{name: "today, no stragglers"}, node: "today", service: "hedged"}
	if err := runTailArms(ctx, c, options, rateOr(options, tailPerSecond), []*tailArm{baseline, today, clean}); err != nil {
		return err
	}
	if err := printArms(output, []*arm{&baseline.arm, &today.arm, &clean.arm}); err != nil {
		return err
	}
	_, err = fmt.Fprintf(output, "p99.9 better than the baseline by %s (aim 30); over no stragglers by %s (aim 1.5)\n",
		ratios(&baseline.arm, &today.arm, p999), ratios(&today.arm, &clean.arm, p999))
	return err
}

// runSlowReplica measures one replica in three that is ten times slower and claims to be idle.
func runSlowReplica(ctx context.Context, options Options, programs process.Programs, output io.Writer) error {
	c, err := startTail(ctx, programs)
	if err != nil {
		return err
	}
	defer c.stop()
	slow := leaf.Faults{SlowFactor: 10, ClaimIdle: true}
	baseline := &tailArm{arm: arm{name: "random, no hedge"}, node: "baseline", service: "plain", faults: slow, everyNth: tailReplicas}
	today := &tailArm{arm: arm{name: "today"}, node: "today", service: "hedged", faults: slow, everyNth: tailReplicas}
	clean := &tailArm{arm: arm{name: "today, none slow"}, node: "today", service: "hedged"}
	if err := runTailArms(ctx, c, options, rateOr(options, tailPerSecond), []*tailArm{baseline, today, clean}); err != nil {
		return err
	}
	if err := printArms(output, []*arm{&baseline.arm, &today.arm, &clean.arm}); err != nil {
		return err
	}
	_, err = fmt.Fprintf(output, "p99 over none slow: baseline %s, today %s (aim 1.2)\n",
		ratios(&baseline.arm, &clean.arm, p99), ratios(&today.arm, &clean.arm, p99))
	return err
}

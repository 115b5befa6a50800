package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/portgauge/portgauge/internal/lab/load"
	"github.com/portgauge/portgauge/internal/lab/process"
)

// A selective filter keeps rows out of the cost: about ten match in all.
const (
	nodeCostPerSecond = 150
	nodeCostFilter    = "limfjord/0001"
)

// runNodeCost measures the processor time of a node a query, against a process that does the
// same fan-out with no decisions.
func runNodeCost(ctx context.Context, options Options, programs process.Programs, output io.Writer) error {
	c, err := startTail(ctx, programs)
	if err != nil {
		return err
	}
	defer c.stop()
	addresses, err := process.FreeAddresses(1)
	if err != nil {
		return err
	}
	arguments := []string{"bare", "--address", addresses[0], "--records", fmt.Sprint(records)}
	for _, leafAddress := range c.addresses[:tailShards] {
		arguments = append(arguments, "--leafs", leafAddress)
	}
	bareProcess, err := process.Start("bare", programs.Lab, arguments...)
	if err != nil {
		return err
	}
	defer bareProcess.Kill()
	c.nodes["bare"] = &runningNode{callers: addresses[0], process: bareProcess}
	time.Sleep(warmUp)
	var costs [2][]float64
	var residents [2]int64
	for repetition := range options.Repetitions {
		for number, name := range []string{"today", "bare"} {
			cost, resident, err := c.queryCost(ctx, name, uint64(repetition), options)
			if err != nil {
				return err
			}
			costs[number] = append(costs[number], cost)
			residents[number] = resident
		}
	}
	var ratio []float64
	for index := range costs[0] {
		ratio = append(ratio, costs[0][index]/costs[1][index])
	}
	_, err = fmt.Fprintf(output, "node %s us a query of %d leafs (%.2f us an attempt, %d MB resident), bare fan-out %s us (%d MB), ratio %s (aim 1.10)\n",
		spreadOf(costs[0]), tailShards, spreadOf(costs[0]).median/tailShards, residents[0]>>20, spreadOf(costs[1]), residents[1]>>20, spreadOf(ratio))
	return err
}

// queryCost gives the microseconds of processor time a query, and the memory.
func (c *cluster) queryCost(ctx context.Context, node string, seed uint64, options Options) (micros float64, resident int64, err error) {
	config := load.Config{Service: "hedged", PerSecond: rateOr(options, nodeCostPerSecond), Duration: warmUp, Deadline: tailDeadline, Limit: tailPageSize, Filter: nodeCostFilter, Seed: seed + 1000}
	if _, err := c.run(ctx, node, config); err != nil {
		return 0, 0, err
	}
	before, err := c.nodes[node].process.Usage()
	if err != nil {
		return 0, 0, err
	}
	config.Duration, config.Seed = options.Slice, seed
	result, err := c.run(ctx, node, config)
	if err != nil {
		return 0, 0, err
	}
	after, err := c.nodes[node].process.Usage()
	if err != nil {
		return 0, 0, err
	}
	return float64((after.CPU - before.CPU).Microseconds()) / float64(max(result.Answered, 1)), after.ResidentBytes, nil
}

// Command portgauge-lab is the model of what portgauge serves, and the experiments with it.
package main

import (
	"os"

	"github.com/portgauge/portgauge/internal/operator/cli"
)

// commandLine is the tree of subcommands; each has a file of its own.
type commandLine struct {
	Leaf       leafCommand       `cmd:"" help:"Run a stand-in back end."`
	HTTPLeaf   httpLeafCommand   `cmd:"" name:"http-leaf" help:"Run a stand-in back end that routes are served by."`
	Platform   platformCommand   `cmd:"" help:"Run a stand-in store and machine list."`
	Sample     sampleCommand     `cmd:"" help:"Print a service or manifest over stand-in back ends."`
	Leafs      leafsCommand      `cmd:"" help:"Run many stand-in back ends in one process."`
	Bare       bareCommand       `cmd:"" help:"Serve searches by a fan-out without decisions, the baseline of node-cost."`
	Load       loadCommand       `cmd:"" help:"Send searches open-loop and print latency, coverage and extra load."`
	Experiment experimentCommand `cmd:"" help:"Measure the node against a baseline in one run."`
	Soak       soakCommand       `cmd:"" help:"Bring about random faults around real nodes and judge the promises."`
	Rollout    rolloutCommand    `cmd:"" help:"Play roll-outs of good and bad versions over real nodes."`
	Variants   variantsCommand   `cmd:"" help:"Play deployments and days drawn from a seed on the users' bench."`
	Compare    compareCommand    `cmd:"" help:"Play policies on the same days and seeds of the users' bench."`
	Replay     replayCommand     `cmd:"" help:"Replay traces over real processes and judge their outcomes."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	return cli.Run("portgauge-lab", "Stand-ins, replays, load and experiments for portgauge.", &commandLine{}, arguments)
}

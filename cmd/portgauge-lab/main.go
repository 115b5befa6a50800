// Command portgauge-lab runs stand-ins for the dependencies of portgauge, sends load, replays traces, and runs fault
// injection and rollouts against real nodes.
package main

import (
	"os"

	"github.com/portgauge/portgauge/internal/operator/cli"
)

// commandLine is the tree of subcommands.
type commandLine struct {
	Leaf     leafCommand     `cmd:"" help:"Run a stand-in leaf for searches."`
	HTTPLeaf httpLeafCommand `cmd:"" name:"http-leaf" help:"Run a stand-in leaf for routes."`
	Platform platformCommand `cmd:"" help:"Run a stand-in store and machine list."`
	Sample   sampleCommand   `cmd:"" help:"Print a service or manifest over stand-in leafs."`
	Load     loadCommand     `cmd:"" help:"Send searches at a fixed rate and print latency, coverage and extra load."`
	Soak     soakCommand     `cmd:"" help:"Inject random faults around real nodes and check the guarantees."`
	Rollout  rolloutCommand  `cmd:"" help:"Roll good and bad versions out over real nodes and check the outcomes."`
	Replay   replayCommand   `cmd:"" help:"Replay traces over real processes and check their outcomes."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	return cli.Run("portgauge-lab", "Stand-ins, load generation, trace replay and fault injection for portgauge.", &commandLine{}, args)
}

// Command portgauge-lab runs stand-ins for what portgauge depends on, sends load, replays traces and plays faults and
// roll-outs over real nodes.
package main

import (
	"os"

	"github.com/portgauge/portgauge/internal/operator/cli"
)

// commandLine is the tree of subcommands; each has a file of its own.
type commandLine struct {
	Leaf     leafCommand     `cmd:"" help:"Run a stand-in back end."`
	HTTPLeaf httpLeafCommand `cmd:"" name:"http-leaf" help:"Run a stand-in back end for routes."`
	Platform platformCommand `cmd:"" help:"Run a stand-in store and machine list."`
	Sample   sampleCommand   `cmd:"" help:"Print a service or manifest over stand-in back ends."`
	Load     loadCommand     `cmd:"" help:"Send searches at a fixed rate and print latency, coverage and extra load."`
	Soak     soakCommand     `cmd:"" help:"Inject random faults around real nodes and check the promises."`
	Rollout  rolloutCommand  `cmd:"" help:"Roll good and bad versions out over real nodes and check the outcomes."`
	Replay   replayCommand   `cmd:"" help:"Replay traces over real processes and check their outcomes."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	return cli.Run("portgauge-lab", "Stand-ins, load, traces and faults for portgauge.", &commandLine{}, arguments)
}

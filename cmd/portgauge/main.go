// Command portgauge is the query tier: its node, and the calls of operators and callers.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/portgauge/portgauge/internal/operator/cli"
)

// commandLine is the tree of subcommands; each has a file of its own.
type commandLine struct {
	Node       nodeCommand       `cmd:"" help:"Run a node: serve searches and administration until stopped."`
	Service    serviceCommand    `cmd:"" help:"Create, change, show and watch services."`
	Snapshot   snapshotCommand   `cmd:"" help:"Publish and list index snapshots."`
	Routes     routesCommand     `cmd:"" help:"Check, change and show the routes of the front."`
	Leaf       leafCommand       `cmd:"" help:"Add and remove the leafs of routes."`
	Zone       zoneCommand       `cmd:"" help:"Evacuate and restore the leafs of a zone."`
	Rollout    rolloutCommand    `cmd:"" help:"Move services to leafs of another version, and show the progress."`
	Quarantine quarantineCommand `cmd:"" help:"List requests under quarantine because they crash leafs, and lift the quarantine."`
	Search     searchCommand     `cmd:"" help:"Run one search and print its rows and coverage."`
	Settings   settingsCommand   `cmd:"" help:"Check a settings file, or show all settings."`
	Demo       demoCommand       `cmd:"" help:"Run a node with simulated back ends in this process, break one, and show the answers."`
	Version    versionCommand    `cmd:"" help:"Print the version."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install shell completions."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// description is the summary in the help text.
const description = "A query tier over many shards. Exit codes: 0 done, 1 internal, 2 usage, 3 invalid input, 4 not found, 5 conflict, 6 unavailable (nothing ran), 7 outcome unknown, 8 incomplete coverage."

func run(arguments []string) int {
	complete := func(parser *kong.Kong) { kongplete.Complete(parser) }
	return cli.Run("portgauge", description, &commandLine{}, arguments, complete)
}

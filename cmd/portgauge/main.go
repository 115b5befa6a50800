// Command portgauge runs a node of the query tier, and has the commands of operators and callers.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/portgauge/portgauge/internal/operator/cli"
)

// commandLine is the tree of subcommands; each subcommand has a file of its own.
type commandLine struct {
	Node       nodeCommand       `cmd:"" help:"Run a node: serve requests, searches and administration until it is stopped."`
	Service    serviceCommand    `cmd:"" help:"Create, change, show, watch and delete services."`
	Snapshot   snapshotCommand   `cmd:"" help:"Publish and list index snapshots."`
	Routes     routesCommand     `cmd:"" help:"Check, replace and show the routing configuration."`
	Leaf       leafCommand       `cmd:"" help:"Add, replace and delete the leafs that serve routes."`
	Zone       zoneCommand       `cmd:"" help:"Stop and resume sending requests to the leafs of a zone."`
	Rollout    rolloutCommand    `cmd:"" help:"Move services to the leafs of another version, and show the progress."`
	Quarantine quarantineCommand `cmd:"" help:"List requests that are quarantined because they crash leafs, and lift their quarantine."`
	Search     searchCommand     `cmd:"" help:"Run one search and print its rows and coverage."`
	Settings   settingsCommand   `cmd:"" help:"Check a settings file, or show all settings."`
	Demo       demoCommand       `cmd:"" help:"Run a node with simulated leafs in this process, make a leaf fail, and show the answers."`
	Version    versionCommand    `cmd:"" help:"Print the version."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install shell completions."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// description is the summary in the help text.
const description = "A query tier over many shards. Exit codes: 0 success, 1 internal error, 2 usage error, 3 invalid input, 4 not found, 5 conflict, 6 unavailable (nothing ran), 7 outcome unknown, 8 incomplete coverage."

func run(arguments []string) int {
	complete := func(parser *kong.Kong) { kongplete.Complete(parser) }
	return cli.Run("portgauge", description, &commandLine{}, arguments, complete)
}

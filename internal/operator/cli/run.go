package cli

import (
	"os"

	"github.com/alecthomas/kong"
)

// Run parses the arguments, runs the selected subcommand and returns the exit code. The prepare functions are called with
// the parser before it parses.
func Run(name, description string, commands any, arguments []string, prepare ...func(*kong.Kong)) int {
	parser, err := kong.New(commands, kong.Name(name), kong.Description(description), kong.UsageOnError())
	if err != nil {
		return Fail(os.Stderr, err)
	}
	for _, prepareParser := range prepare {
		prepareParser(parser)
	}
	command, err := parser.Parse(arguments)
	if err != nil {
		parser.Errorf("%s", err)
		return ExitUsage
	}
	if err := command.Run(); err != nil {
		return Fail(os.Stderr, err)
	}
	return ExitOK
}

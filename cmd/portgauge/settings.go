package main

import (
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"github.com/portgauge/portgauge/internal/node/settings"
)

// settingsCommand checks and shows settings.
type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and list all faults."`
	Show  settingsShowCommand  `cmd:"" help:"Print every setting with its default, as a settings file."`
}

// settingsCheckCommand checks a file.
type settingsCheckCommand struct {
	File string `arg:"" help:"Settings file (YAML)."`
}

// Run fails with all faults of the file.
func (c *settingsCheckCommand) Run() error {
	if _, err := settings.Load(c.File, nil, nil); err != nil {
		return err
	}
	_, err := fmt.Println(c.File + ": no fault found")
	return err
}

// settingsShowCommand prints the defaults.
type settingsShowCommand struct{}

// Run prints the defaults.
func (c *settingsShowCommand) Run() error {
	return yaml.NewEncoder(os.Stdout).Encode(settings.Default())
}

package main

import (
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"github.com/portgauge/portgauge/internal/node/settings"
)

type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and list all errors."`
	Show  settingsShowCommand  `cmd:"" help:"Print all settings with their defaults, in the form of a settings file."`
}

type settingsCheckCommand struct {
	File string `arg:"" help:"Settings file (YAML)."`
}

// Run returns all errors in the file.
func (c *settingsCheckCommand) Run() error {
	if _, err := settings.Load(c.File, nil, nil); err != nil {
		return err
	}
	_, err := fmt.Println(c.File + ": no faults found")
	return err
}

type settingsShowCommand struct{}

func (c *settingsShowCommand) Run() error {
	return yaml.NewEncoder(os.Stdout).Encode(settings.Default())
}

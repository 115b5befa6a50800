package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/portgauge/portgauge/internal/hangup"
	"github.com/portgauge/portgauge/internal/node"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

type nodeCommand struct {
	Settings string   `help:"Settings file (YAML)." placeholder:"FILE"`
	Set      []string `help:"Override a setting, such as --set search.merge_reserve=2ms. May be repeated. 'portgauge settings show' lists the names of all settings." placeholder:"NAME=VALUE" sep:"none"`
}

// Run runs a node until SIGTERM or SIGINT starts a planned stop. A second signal exits at once. SIGHUP reloads the
// settings.
func (c *nodeCommand) Run() error {
	load := func() (settings.Settings, error) { return loadSettings(c.Settings, c.Set) }
	cfg, err := load()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	app := node.New(node.Start{Settings: cfg, SettingsPath: c.Settings, Load: load, Reload: hangup.Signals(), Logs: os.Stdout, Dialects: dialects()})
	if err := app.Err(); err != nil {
		return err
	}
	startContext, cancelStart := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancelStart()
	if err := app.Start(startContext); err != nil {
		return err
	}
	<-signals
	go func() {
		<-signals
		os.Exit(cli.ExitInternal)
	}()
	stopContext, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	return app.Stop(stopContext)
}

func loadSettings(path string, assignments []string) (settings.Settings, error) {
	var overrides []settings.Override
	for _, assignment := range assignments {
		override, err := settings.ParseFlag(assignment)
		if err != nil {
			return settings.Settings{}, err
		}
		overrides = append(overrides, override)
	}
	return settings.Load(path, os.Environ(), overrides)
}

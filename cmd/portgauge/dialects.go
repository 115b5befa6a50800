package main

import (
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/node"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/platform"
)

// dialects returns the platform protocols that this program supports besides its own.
func dialects() []node.Dialect {
	return []node.Dialect{{
		Name: platform.Name,
		HTTP: platform.HTTPNames(),
		Connect: func(cfg settings.Platform, called func(store.CallOutcome), memory *memorybudget.Budget) node.PlatformStore {
			return platform.NewClient(cfg, called, memory)
		},
	}}
}

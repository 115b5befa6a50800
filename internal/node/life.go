package node

import (
	"context"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/node/reload"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/version"
)

// logLifetime logs the start and the end of the node.
func logLifetime(lifecycle fx.Lifecycle, cfg settings.Settings, self catalog.NodeRecord, logger *zap.Logger) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			logger.Info("node started", zap.String("node", self.ID), zap.String("zone", self.Zone),
				zap.String("version", version.Current().Version), zap.String("platform", cfg.Platform.Address))
			return nil
		},
		OnStop: func(context.Context) error {
			logger.Info("node stopped", zap.String("node", self.ID))
			return nil
		},
	})
}

// runReload applies changed settings on the reload signal and when the settings file changes.
func runReload(lifecycle fx.Lifecycle, start Start, level zap.AtomicLevel, syncer *configsync.Syncer, logger *zap.Logger) {
	if start.Load == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	current := start.Settings
	apply := func(changed settings.Settings) []string {
		if parsed, err := zap.ParseAtomicLevel(changed.LogLevel); err == nil {
			level.SetLevel(parsed.Level())
		}
		syncer.SetSeeds(changed.Seeds)
		needRestart := settings.Differences(current, changed)
		current = changed
		return needRestart
	}
	reloader := reload.New(start.SettingsPath, start.Load, apply, logger)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go reloader.Run(ctx, start.Reload)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// Package reload applies changed settings to a running node.
//
// It reads the settings file again on the reload signal and when the content of the file changes. If the file can't be
// read, or any setting is invalid, nothing changes.
package reload

import (
	"context"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/node/settings"
)

// checkInterval is how often the file is checked for changes.
const checkInterval = 2 * time.Second

// Loader reads and validates the settings as at the start of the node, including the overrides.
type Loader func() (settings.Settings, error)

// Reloader reloads settings. Its apply function applies the settings that can change while the node runs, and returns
// the names of the changed settings that need a restart.
type Reloader struct {
	path     string
	load     Loader
	apply    func(settings.Settings) (needRestart []string)
	logger   *zap.Logger
	lastHash uint64 // hash of the file's content at the last load
}

// New returns a reloader for a settings file. If the path is empty, the settings are reloaded only on signals.
func New(path string, load Loader, apply func(settings.Settings) []string, logger *zap.Logger) *Reloader {
	reloader := &Reloader{path: path, load: load, apply: apply, logger: logger}
	reloader.lastHash, _ = reloader.hash()
	return reloader
}

// Run reloads on each signal and when the file has changed, until the context is done.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
			r.reload("signal")
		case <-ticker.C:
			if hash, found := r.hash(); found && hash != r.lastHash {
				r.reload("file changed")
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reloader) hash() (uint64, bool) {
	if r.path == "" {
		return 0, false
	}
	content, err := os.ReadFile(r.path)
	return xxhash.Sum64(content), err == nil
}

func (r *Reloader) reload(cause string) {
	if hash, found := r.hash(); found {
		r.lastHash = hash
	}
	changed, err := r.load()
	if err != nil {
		r.logger.Error("settings could not be reloaded; the previous settings stay in force", zap.String("cause", cause), zap.Error(err))
		return
	}
	r.logger.Info("settings reloaded", zap.String("cause", cause), zap.Strings("need_restart", r.apply(changed)))
}

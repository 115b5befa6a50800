// Package reload puts changed settings into force in a running node.
//
// The settings file is read again on the reload signal and when its content changes. A file that can't be read, or that
// is invalid anywhere, changes nothing. The package owns the hash of the content seen last; Run is its only goroutine.
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

// Loader reads and validates the settings as at the start, overrides included.
type Loader func() (settings.Settings, error)

// Reloader reads settings again. Its apply function puts those into force that can change while the node runs, and returns
// the names of changed settings that need a restart.
type Reloader struct {
	path   string
	load   Loader
	apply  func(settings.Settings) (needRestart []string)
	logger *zap.Logger
	seen   uint64 // hash of the file's content
}

// New returns a reloader for a settings file; an empty path means that there is no file.
func New(path string, load Loader, apply func(settings.Settings) []string, logger *zap.Logger) *Reloader {
	reloader := &Reloader{path: path, load: load, apply: apply, logger: logger}
	reloader.seen, _ = reloader.hash()
	return reloader
}

// Run reloads on each signal and when the file has changed, until the context ends.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
			r.reload("signal")
		case <-ticker.C:
			if hash, found := r.hash(); found && hash != r.seen {
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
		r.seen = hash
	}
	changed, err := r.load()
	if err != nil {
		r.logger.Error("settings are invalid; the old ones stay in force", zap.String("cause", cause), zap.Error(err))
		return
	}
	r.logger.Info("settings reloaded", zap.String("cause", cause), zap.Strings("need_restart", r.apply(changed)))
}

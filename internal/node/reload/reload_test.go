package reload

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/node/settings"
)

// An invalid settings file must not be applied in part.
func TestSettingsAreReloadedOnSignalAndFileChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(content string) {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		write("node: {zone: a}\n")
		var applied []string
		load := func() (settings.Settings, error) { return settings.Load(path, nil, nil) }
		apply := func(changed settings.Settings) []string {
			applied = append(applied, changed.LogLevel)
			return nil
		}
		signals := make(chan os.Signal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go New(path, load, apply, zap.NewNop()).Run(ctx, signals)
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(applied), 0) // the file has not changed
		signals <- syscall.SIGHUP
		synctest.Wait()
		is.Equal(applied, []string{"info"})
		write("node: {zone: a}\nlog_level: warn\n")
		time.Sleep(2 * checkInterval)
		synctest.Wait()
		is.Equal(applied, []string{"info", "warn"})
		write("node: {zone: a}\nlog_level: debug\nunknown: 1\n")
		time.Sleep(2 * checkInterval)
		synctest.Wait()
		is.Equal(applied, []string{"info", "warn"}) // the unknown setting invalidates the whole file
		is.NoErr(os.Remove(path))
		signals <- syscall.SIGHUP
		synctest.Wait()
		is.Equal(len(applied), 2)
	})
}

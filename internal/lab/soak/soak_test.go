package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/process"
)

// failedLogs is the directory for the logs of soaks that break a guarantee, relative to the root of the repository.
var failedLogs = filepath.Join("target", "soak")

// A soak with one stream of faults breaks no guarantee. A seed always injects the same faults, but the processes may be
// in other states when they occur.
func TestShortSoak(t *testing.T) {
	soak(t, Config{Seed: 35, Length: 30 * time.Second, PerSecond: 60, Streams: 1, Logs: failedLogs})
}

// A restore of the store must not leave a zone evacuated. With this seed a restore loses an evacuation, which ends before
// operators write it again.
func TestSoakWithRestores(t *testing.T) {
	soak(t, Config{Seed: 10002, Length: 25 * time.Second, PerSecond: 60, Streams: 2, Logs: failedLogs})
}

// soak runs a soak and checks that it breaks no guarantee.
func soak(t *testing.T, cfg Config) {
	t.Helper()
	is := is.New(t)
	here, err := os.Getwd()
	is.NoErr(err)
	t.Chdir(filepath.Join(here, "..", "..", ".."))
	programs, err := process.Build(t.TempDir())
	is.NoErr(err)
	results, err := Run(t.Context(), programs.Portgauge, cfg, t.Output())
	is.NoErr(err)
	passed, failed := Report(results, t.Output())
	is.True(passed > 0)
	is.Equal(failed, 0)
}

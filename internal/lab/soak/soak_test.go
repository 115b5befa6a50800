package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/process"
)

// failedLogs is the folder for the logs of a seed that breaks a promise, relative to the top of the source.
var failedLogs = filepath.Join("target", "soak")

// Short soaks over real nodes, about 50 s each; longer ones are run by hand. A seed always injects the same faults, but not
// at the same moments of the processes.
func TestShortSoak(t *testing.T) {
	soak(t, Config{Seed: 35, Length: 30 * time.Second, PerSecond: 60, Streams: 1, Logs: failedLogs})
}

// The store is restored from backups while nodes stop and configurations change in series. With this seed the evacuation of
// a zone was lost, and ended before operators had written it again: the nodes kept it in force for a minute, and the zone's
// leafs got nothing after the faults.
func TestSoakWithRestores(t *testing.T) {
	soak(t, Config{Seed: 10002, Length: 25 * time.Second, PerSecond: 60, Streams: 2, Logs: failedLogs})
}

// soak plays a seed, which must break no promise.
func soak(t *testing.T, config Config) {
	t.Helper()
	is := is.New(t)
	here, err := os.Getwd()
	is.NoErr(err)
	t.Chdir(filepath.Join(here, "..", "..", ".."))
	programs, err := process.Build(t.TempDir())
	is.NoErr(err)
	verdicts, err := Run(t.Context(), programs.Portgauge, config, t.Output())
	is.NoErr(err)
	passed, failed := Report(verdicts, t.Output())
	is.True(passed > 0)
	is.Equal(failed, 0)
}

package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"github.com/portgauge/portgauge/internal/failure"
)

// Parse returns the settings of a file with the given content, without overrides.
func Parse(name string, content []byte) (Settings, error) {
	document, err := parse(name, content)
	if err != nil {
		return Settings{}, err
	}
	return assemble(name, document, nil)
}

func TestAllFaultsAreReportedWithTheirLines(t *testing.T) {
	is := is.New(t)
	_, err := Parse("node.yaml", []byte(`
node:
  zone: ""
listen:
  callers: localhost:7400
search:
  merge_reserve: 1h
hedging:
  quantile: 20
`))
	text := map[string]string{}
	for _, fault := range failure.Faults(err) {
		text[fault.Field] = fault.Message
	}
	is.Equal(len(text), 4)
	is.True(strings.Contains(text["node.zone"], "node.yaml line 3"))
	is.True(strings.Contains(text["listen.callers"], "node.yaml line 5"))
	is.True(strings.Contains(text["hedging.quantile"], "node.yaml line 9"))
	is.True(strings.Contains(text["search.minimum_deadline"], "default"))
}

func TestUnknownFieldsAndMistypedValuesAreRejected(t *testing.T) {
	is := is.New(t)
	_, err := Parse("node.yaml", []byte("node:\n  zone: a\n  zoon: b\nserach: {}\nstop:\n  drain_timeout: soon\n"))
	faults := failure.Faults(err)
	is.Equal(len(faults), 3)
	is.Equal(faults[0].Field, "node.zoon")
	is.Equal(faults[1].Field, "serach")
	is.True(strings.Contains(faults[2].Message, "line 6"))
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	is := is.New(t)
	flag, err := ParseFlag("stop.drain_timeout=3s")
	is.NoErr(err)
	environment := []string{"PORTGAUGE_NODE_ZONE=env", "PORTGAUGE_STOP_DRAIN_TIMEOUT=2s", "PORTGAUGE_CONFIG_SYNC_FAN_OUT=7", "OTHER=1"}
	loaded, err := Load("", environment, []Override{flag})
	is.NoErr(err)
	is.Equal(loaded.Node.Zone, "env")
	is.Equal(loaded.Stop.DrainTimeout, 3*time.Second)
	is.Equal(loaded.ConfigSync.FanOut, 7)
}

func TestInvalidFlagIsNamedInError(t *testing.T) {
	is := is.New(t)
	_, err := Load("", nil, []Override{{Path: "node.zone", Value: "z"}, {Path: "balancer.eject_after", Value: "0", Source: "--set balancer.eject_after"}})
	is.True(strings.Contains(err.Error(), "--set balancer.eject_after"))
	_, err = ParseFlag("nonsense")
	is.True(failure.Is(err, failure.InvalidField))
}

// The output of 'settings show' must be a valid settings file, except for the zone, which has no default.
func TestDefaultsAreValid(t *testing.T) {
	is := is.New(t)
	content, err := yaml.Marshal(Default())
	is.NoErr(err)
	_, err = Parse("defaults", content)
	is.Equal(len(failure.Faults(err)), 1)
	is.Equal(failure.Faults(err)[0].Field, "node.zone")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("node:\n  zone: a\n"))
	f.Add([]byte("seeds: [127.0.0.1:1]\nstop: {drain_timeout: 1s}\n"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		// Parse must not panic.
		_, _ = Parse("fuzz", content)
	})
}

func TestDifferencesListsSettingsThatNeedRestart(t *testing.T) {
	is := is.New(t)
	changed := Default()
	is.Equal(len(Differences(Default(), changed)), 0)
	changed.LogLevel, changed.Seeds = "warn", []string{"127.0.0.1:1"}
	is.Equal(len(Differences(Default(), changed)), 0)
	changed.Node.Zone, changed.Gateway.HedgeFactor = "other", 3
	is.Equal(Differences(Default(), changed), []string{"node.zone", "gateway.hedge_factor"})
}

// With a shorter look_after, standby watchers would call the store although the first watcher works.
func TestLookAfterMustExceedWatchWait(t *testing.T) {
	is := is.New(t)
	_, err := Parse("node.yaml", []byte("node:\n  zone: a\nplatform:\n  watch_wait: 2s\n"))
	faults := failure.Faults(err)
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Field, "config_sync.look_after")
}

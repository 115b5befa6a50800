package canary

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
)

const (
	previous     = "v1"
	target       = "v2"
	specDuration = 60 * time.Second
)

// fataler is the common interface of testing.T and rapid.T.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

// fixture is a catalog with a service "s" of two versions, and a manual clock.
type fixture struct {
	t       fataler
	catalog *catalog.Catalog
	clock   time.Time
}

func newFixture(t fataler) *fixture {
	nodeCatalog := catalog.New(func(key string, err error) { t.Fatal(key, err) })
	nodeCatalog.EnableRollouts()
	f := &fixture{t: t, catalog: nodeCatalog, clock: time.Now()}
	f.put(catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{previous: {"s"}}})
	for _, version := range []string{previous, target} {
		for index := range 3 {
			f.putLeaf(version, index, leafset.Ready)
		}
	}
	return f
}

func (f *fixture) putLeaf(version string, index int, state leafset.State) {
	id := leafID(version, index)
	f.put(catalog.LeafKey(id), leafset.Record{Name: id, Service: "s", Address: "127.0.0.1:1", Version: version, State: state})
}

func leafID(version string, index int) string { return fmt.Sprintf("%s-%d", version, index) }

// put writes a document, or deletes the key if the document is nil, and returns the revision.
func (f *fixture) put(key string, document any) int64 {
	f.t.Helper()
	var content json.RawMessage
	if document != nil {
		content, _ = json.Marshal(document)
	}
	wrapped, err := catalog.NewDocument("", content, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	revision := f.catalog.Revision() + 1
	entry := catalog.Entry{Key: key, Value: wrapped, Revision: revision, Deleted: document == nil}
	f.catalog.Apply(catalog.Change{Entry: entry, Previous: revision - 1})
	f.catalog.Confirm(f.clock)
	return revision
}

func (f *fixture) startRollout() int64 { return f.startRolloutFor(specDuration) }

func (f *fixture) startRolloutFor(duration time.Duration) int64 {
	return f.put(catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: target, DurationMillis: duration.Milliseconds()})
}

func (f *fixture) phase(specID int64, phase rollout.Phase) int64 {
	return f.put(catalog.RolloutStateKey("s"), rollout.State{Service: "s", SpecRevision: specID, Phase: phase, Serving: previous, Target: target})
}

// advance advances the clock and confirms the configuration.
func (f *fixture) advance(duration time.Duration) {
	f.clock = f.clock.Add(duration)
	f.catalog.Confirm(f.clock)
}

func (f *fixture) splitter(cfg Config, fleet Fleet) *Splitter {
	splitter := New(cfg, f.catalog, fleet)
	splitter.now = func() time.Time { return f.clock }
	return splitter
}

// decide makes n decisions and returns how many of them select the canary.
func decide(s *Splitter, n int, once bool) int {
	forCanary := 0
	for range n {
		if s.Decide(Request{Service: "s", Once: once}).First == Canary {
			forCanary++
		}
	}
	return forCanary
}

// fakeFleet is a fleet with a settable share; a share of 0 means that the node is not registered.
type fakeFleet struct{ share float64 }

func (f *fakeFleet) Share(bool) float64 { return f.share }
func (f *fakeFleet) IsRegistered() bool { return f.share > 0 }

func config(slack float64) Config {
	cfg := DefaultConfig()
	cfg.Slack = slack
	return cfg
}

// newRollout returns a fixture with a spec that was written after the node had started.
func newRollout(t *testing.T, slack float64) (*fixture, *Splitter, int64) {
	t.Helper()
	f := newFixture(t)
	splitter := f.splitter(config(slack), &fakeFleet{1})
	splitter.random = func() float64 { return 0 }
	specID := f.startRollout()
	splitter.Refresh()
	return f, splitter, specID
}

// newRolloutFor is like newRollout, without slack and with the given duration.
func newRolloutFor(t *testing.T, duration time.Duration) (*fixture, *Splitter, int64) {
	t.Helper()
	f, splitter, _ := newRollout(t, 0)
	specID := f.startRolloutFor(duration)
	splitter.Refresh()
	return f, splitter, specID
}

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
	before = "v1"
	target = "v2"
	lasts  = 60 * time.Second
)

// fataler is what testing.T and rapid.T have in common.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

// site is a configuration with a service s of two versions, with its own clock.
type site struct {
	t     fataler
	known *catalog.Catalog
	clock time.Time
}

func newSite(t fataler) *site {
	known := catalog.New(func(key string, err error) { t.Fatal(key, err) })
	known.EnableRollouts()
	built := &site{t: t, known: known, clock: time.Now()}
	built.put(catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{before: {"s"}}})
	for _, version := range []string{before, target} {
		for index := range 3 {
			built.putLeaf(version, index, leafset.Ready)
		}
	}
	return built
}

func (s *site) putLeaf(version string, index int, state leafset.State) {
	id := leafID(version, index)
	s.put(catalog.LeafKey(id), leafset.Record{Name: id, Service: "s", Address: "127.0.0.1:1", Version: version, State: state})
}

func leafID(version string, index int) string { return fmt.Sprintf("%s-%d", version, index) }

// put writes a document, or removes the key if it is nil, and returns the revision.
func (s *site) put(key string, document any) int64 {
	s.t.Helper()
	var content json.RawMessage
	if document != nil {
		content, _ = json.Marshal(document)
	}
	wrapped, err := catalog.NewDocument("", content, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	revision := s.known.Revision() + 1
	entry := catalog.Entry{Key: key, Value: wrapped, Revision: revision, Deleted: document == nil}
	s.known.Apply(catalog.Change{Entry: entry, Previous: revision - 1})
	s.known.Confirm(s.clock)
	return revision
}

func (s *site) startRollout() int64 { return s.startRolloutFor(lasts) }

func (s *site) startRolloutFor(duration time.Duration) int64 {
	return s.put(catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: target, DurationMillis: duration.Milliseconds()})
}

func (s *site) phase(specID int64, phase rollout.Phase) int64 {
	return s.put(catalog.RolloutStateKey("s"), rollout.State{Service: "s", SpecRevision: specID, Phase: phase, Serving: before, Target: target})
}

// pass advances the clock, with the configuration confirmed.
func (s *site) pass(time time.Duration) {
	s.clock = s.clock.Add(time)
	s.known.Confirm(s.clock)
}

func (s *site) splitter(cfg Config, fleet Fleet) *Splitter {
	made := New(cfg, s.known, fleet)
	made.now = func() time.Time { return s.clock }
	return made
}

// decide decides n times and returns how many requests went to the canary version.
func decide(s *Splitter, n int, once bool) int {
	forCanary := 0
	for range n {
		if s.Decide(Request{Service: "s", Once: once}).First == Target {
			forCanary++
		}
	}
	return forCanary
}

// one is a fleet of a single node with a settable share.
type one struct{ share float64 }

func (o *one) Share(bool) float64 { return o.share }
func (o *one) IsRegistered() bool { return o.share > 0 }

func config(slack float64) Config {
	cfg := DefaultConfig()
	cfg.Slack = slack
	return cfg
}

// started returns a site whose node was there before the spec.
func started(t *testing.T, slack float64) (*site, *Splitter, int64) {
	t.Helper()
	built := newSite(t)
	splitter := built.splitter(config(slack), &one{1})
	splitter.random = func() float64 { return 0 }
	specID := built.startRollout()
	splitter.Refresh()
	return built, splitter, specID
}

// startedFor is like started, without slack, for a spec of a duration.
func startedFor(t *testing.T, duration time.Duration) (*site, *Splitter, int64) {
	t.Helper()
	built, splitter, _ := started(t, 0)
	specID := built.startRolloutFor(duration)
	splitter.Refresh()
	return built, splitter, specID
}

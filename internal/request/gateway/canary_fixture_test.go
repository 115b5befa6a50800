package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/canary"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// canaryFleet is a fleet of one node, which has the whole share of canary decisions.
type canaryFleet struct{ registeredFleet }

func (canaryFleet) Share(bool) float64 { return 1 }

// allToCanary returns a configuration that sends all eligible requests to the canary.
func allToCanary() canary.Config {
	cfg := canary.DefaultConfig()
	cfg.Share, cfg.UsedFraction = 1, 1
	return cfg
}

// noneToCanary returns a configuration that sends no requests to the canary.
func noneToCanary() canary.Config {
	cfg := canary.DefaultConfig()
	cfg.Share = 0
	return cfg
}

// canaryGateway is a gateway whose service s0 is rolled out from v1 (s0a, s0b) to v2 (s0c, s0d).
type canaryGateway struct {
	*Gateway
	t      *testing.T
	specID int64
	leafs  *scriptedLeafs
	// canaryAnswer is how the canary leafs answer; nil means like the other leafs.
	canaryAnswer func(leaf string) (time.Duration, *leafhttp.Response, error)
}

func newCanaryGateway(t *testing.T, cfg canary.Config) *canaryGateway {
	t.Helper()
	g := &canaryGateway{t: t, leafs: &scriptedLeafs{}}
	g.leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
		if g.canaryAnswer != nil && isCanary(leaf) {
			return g.canaryAnswer(leaf)
		}
		return time.Millisecond, answered(200, records(leaf)), nil
	}
	g.Gateway, _ = newGateway(t, g.leafs)
	g.canary = canary.New(cfg, g.catalog, canaryFleet{})
	g.evidence = evidence.NewCollector(g.catalog)
	startRollout(t, g.catalog, "")
	g.specID = g.catalog.Revision()
	g.refreshRollouts()
	return g
}

// startRollout adds leafs of two versions of s0 to the catalog, and the spec to roll out from one to the other.
func startRollout(t *testing.T, cat *catalog.Catalog, zone string) {
	t.Helper()
	put(t, cat, catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"v1": {"s0"}}})
	for id, version := range map[string]string{"s0a": "v1", "s0b": "v1", "s0c": "v2", "s0d": "v2"} {
		put(t, cat, catalog.LeafKey(id), versionedLeaf(id, version, zone))
	}
	put(t, cat, catalog.RolloutKey("s0"), rollout.Spec{Service: "s0", Target: "v2", DurationMillis: time.Minute.Milliseconds()})
}

func versionedLeaf(id, version, zone string) leafset.Record {
	return leafset.Record{Name: id, Service: "s0", Address: "127.0.0.1:1", Zone: zone, Version: version, State: leafset.Ready}
}

func isCanary(leaf string) bool { return leaf == "s0c" || leaf == "s0d" }

// refreshRollouts confirms the configuration as the newest and has the splitter read it.
func (g *canaryGateway) refreshRollouts() {
	g.catalog.Confirm(time.Now())
	g.canary.Refresh()
}

// enterPhase moves the rollout to a phase.
func (g *canaryGateway) enterPhase(phase rollout.Phase) {
	g.t.Helper()
	state := rollout.State{Service: "s0", SpecRevision: g.specID, Phase: phase, Serving: "v1", Target: "v2"}
	put(g.t, g.catalog, catalog.RolloutStateKey("s0"), state)
	g.refreshRollouts()
}

// finishSwitch completes the ramp to v2.
func (g *canaryGateway) finishSwitch() {
	g.t.Helper()
	g.enterPhase(rollout.PhaseSwitching)
	time.Sleep(canary.DefaultConfig().Ramp)
	g.catalog.Confirm(time.Now())
}

// removeLeafs removes leafs from discovery and waits until they are no longer retained.
func (g *canaryGateway) removeLeafs(ids ...string) {
	g.t.Helper()
	for _, id := range ids {
		put(g.t, g.catalog, catalog.LeafKey(id), nil)
	}
	time.Sleep(10 * time.Second)
	g.refreshRollouts()
}

// queried returns the leafs of s0 that were queried since the last call.
func (g *canaryGateway) queried() []string {
	g.leafs.mu.Lock()
	defer g.leafs.mu.Unlock()
	var queried []string
	for _, leaf := range g.leafs.queried {
		if leaf[:2] == "s0" {
			queried = append(queried, leaf)
		}
	}
	g.leafs.queried = nil
	return queried
}

// withCanary runs a test with a canaryGateway in virtual time.
func withCanary(t *testing.T, cfg canary.Config, test func(is *is.I, g *canaryGateway)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(is.New(t), newCanaryGateway(t, cfg)) })
}

// canaryTally returns the evidence counted for the canary version.
func (g *canaryGateway) canaryTally(is *is.I) evidence.Tally {
	var tally evidence.Tally
	for _, row := range g.evidence.Rows() {
		is.Equal(row.SpecID, g.specID)
		if row.Version == "v2" {
			is.Equal(row.Leaf, "s0c")
			tally.Add(row.Tally)
		}
	}
	return tally
}

package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// newCanaryTree starts a root whose services are all gathered by another node. The given nodes have the rollout of s0.
func newCanaryTree(t *testing.T, withRollout ...string) *tree {
	t.Helper()
	small, large := near("root"), near("there")
	small.Processors, large.Processors = 0.2, 0.8
	tr := newTree(t, small, large, far("far"))
	for id, node := range tr.nodes {
		node.gateway.canary = canary.New(allToCanary(), node.catalog, canaryFleet{})
		put(t, node.catalog, catalog.LeafKey("s0"+zoneNear), nil)
		put(t, node.catalog, catalog.LeafKey("s0"+zoneFar), nil)
		startRollout(t, node.catalog, zoneNear)
		if !slices.Contains(withRollout, id) {
			put(t, node.catalog, catalog.RolloutKey("s0"), nil)
		}
		node.catalog.Confirm(time.Now())
	}
	return tr
}

// An intermediate makes canary decisions by its own configuration; its root makes none for a group.
func TestIntermediateMakesCanaryDecisions(t *testing.T) {
	cases := map[string]struct {
		withRollout []string
		toCanary    int
	}{
		"only the root has the rollout":         {[]string{"root"}, 0},
		"only the intermediate has the rollout": {[]string{"there"}, 5},
		"both have the rollout":                 {[]string{"root", "there"}, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := newCanaryTree(t, c.withRollout...)
			for range 5 {
				tr.requireComplete(tr.serve("root"))
			}
			is.Equal(len(tr.attempts.by("root")), 0)
			toCanary := 0
			for _, leaf := range tr.attempts.by("there") {
				if isCanary(leaf) {
					toCanary++
				}
			}
			is.Equal(toCanary, c.toCanary)
		})
	}
}

// Groups do not count toward the share at the root.
func TestGroupsEarnNoCanaryShareAtRoot(t *testing.T) {
	is := is.New(t)
	tr := newCanaryTree(t, "root", "there")
	root := tr.nodes["root"].gateway
	half := allToCanary()
	half.Share = 0.5
	root.canary = canary.New(half, root.catalog, canaryFleet{})
	for range 5 {
		tr.requireComplete(tr.serve("root"))
	}
	is.Equal(len(tr.attempts.by("root")), 0)
	is.Equal(root.canary.Decide(canary.Request{Service: "s0"}), canary.Decision{})
	is.Equal(root.canary.Decide(canary.Request{Service: "s0"}).First, canary.Canary)
}

// Once requests are switched to a version, placement follows its leafs.
func TestPlacementFollowsVersionDuringSwitch(t *testing.T) {
	is := is.New(t)
	tr := newCanaryTree(t, "far")
	node := tr.nodes["far"]
	placed := newPlacement(node.catalog, zoneFar, nil)
	entry := node.catalog.View().Routes.Match("h", "/pages/1")
	is.True(!slices.Contains(placed.groupsOf(entry)[0].shards, 0))
	for _, id := range []string{"s0c", "s0d"} {
		put(t, node.catalog, catalog.LeafKey(id), versionedLeaf(id, "v2", zoneFar))
	}
	is.True(!slices.Contains(placed.groupsOf(entry)[0].shards, 0))
	specID := node.catalog.View().Rollouts["s0"].Spec.Revision
	put(t, node.catalog, catalog.RolloutStateKey("s0"), rollout.State{Service: "s0", SpecRevision: specID, Phase: rollout.PhaseSwitching, Serving: "v1", Target: "v2"})
	is.True(slices.Contains(placed.groupsOf(entry)[0].shards, 0))
}

// Canary decisions select only leafs in regions that the route allows and in zones that are not evacuated.
func TestCanaryDecisionsRespectRegionsAndEvacuations(t *testing.T) {
	withCanary(t, allToCanary(), func(is *is.I, g *canaryGateway) {
		g.regions = map[string]string{zoneNear: regionWest, zoneFar: regionWest, zoneFarther: regionSouth}
		for id, zone := range map[string]string{"s0a": zoneNear, "s0c": zoneFarther, "s0d": zoneFar} {
			version := "v2"
			if id == "s0a" {
				version = "v1"
			}
			put(g.t, g.catalog, catalog.LeafKey(id), versionedLeaf(id, version, zone))
		}
		put(g.t, g.catalog, catalog.RoutesKey, routing.Configuration{Version: 2, Routes: []routing.Route{{
			Host: "h", Prefix: "/single/", Service: "s0", Repeatability: routing.Repeatable, Regions: []string{regionWest},
		}}})
		for range 10 {
			_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
			is.NoErr(err)
			is.Equal(g.queried(), []string{"s0d"})
		}
		put(g.t, g.catalog, catalog.EvacuationKey(zoneFar), struct{}{})
		_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
		is.NoErr(err)
		is.Equal(g.queried(), []string{"s0a"})
	})
}

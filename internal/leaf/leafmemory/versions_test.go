package leafmemory

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
)

// newVersioned returns a catalog whose service is served by v1, with v2 as canary if ordered.
func newVersioned(t *testing.T, ordered bool) *catalog.Catalog {
	t.Helper()
	known := catalog.New(func(key string, err error) { t.Errorf("%s: %v", key, err) })
	known.EnableRollouts()
	put(t, known, catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"v1": {"s"}}})
	if ordered {
		put(t, known, catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: "v2", DurationMillis: 1000})
	}
	return known
}

func versioned(id, version string) leafset.Record {
	made := record(id, leafset.Ready)
	made.Version = version
	return made
}

// rollBack stores that the current order was found bad.
func rollBack(t *testing.T, known *catalog.Catalog) {
	t.Helper()
	specID := known.View().Rollouts["s"].Spec.Revision
	put(t, known, catalog.RolloutStateKey("s"), rollout.State{Service: "s", SpecRevision: specID, Phase: rollout.RolledBack, Serving: "v1", Target: "v2"})
}

func candidateIDs(memory *Memory) []string {
	leafs, _ := memory.Candidates("s")
	ids := []string{}
	for _, leaf := range leafs {
		ids = append(ids, leaf.ID)
	}
	return ids
}

func TestCanaryMayBeQueriedAndIsNoCandidate(t *testing.T) {
	is := is.New(t)
	known := newVersioned(t, true)
	put(t, known, catalog.LeafKey("new"), versioned("new", "v2"))
	memory := New(DefaultConfig(), known)
	is.True(memory.MaySend("new"))
	is.Equal(candidateIDs(memory), []string{})
	is.Equal(memory.IDs(), []string{"new"})
	rollBack(t, known)
	is.True(!memory.MaySend("new"))
	is.Equal(memory.IDs(), nil) // nor are connections to it kept
}

func TestDisallowedLeafMayNotBeQueried(t *testing.T) {
	is := is.New(t)
	known := newVersioned(t, false)
	put(t, known, catalog.LeafKey("other"), versioned("other", "v2"))
	memory := New(DefaultConfig(), known)
	is.True(!memory.MaySend("other"))
	is.Equal(candidateIDs(memory), []string{})
	put(t, known, catalog.LeafKey("untold"), versioned("untold", ""))
	is.True(memory.MaySend("untold"))
	is.Equal(candidateIDs(memory), []string{"untold"})
}

// Of the leafs lost a moment ago only those that serve are a last resort, even after the rule has changed.
func TestLostLeafsGoByTheRuleInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		known := newVersioned(t, true)
		put(t, known, catalog.LeafKey("old"), versioned("old", "v1"))
		put(t, known, catalog.LeafKey("new"), versioned("new", "v2"))
		memory := New(DefaultConfig(), known)
		time.Sleep(DefaultConfig().TrustAfterStart)
		put(t, known, catalog.LeafKey("old"), nil)
		put(t, known, catalog.LeafKey("new"), nil)
		is.Equal(candidateIDs(memory), []string{"old"})
		is.True(memory.MaySend("new"))
		rollBack(t, known)
		is.True(!memory.MaySend("new"))
		is.True(memory.MaySend("old"))
		is.Equal(memory.IDs(), []string{"old"})
	})
}

// Lost leafs that may not be asked don't hide those on the stored list that may.
func TestLostLeafsDontHideWrittenOnes(t *testing.T) {
	is := is.New(t)
	known := newVersioned(t, true)
	put(t, known, catalog.SavedLeafsKey, leafset.List{Leafs: []leafset.Record{versioned("old", "v1")}})
	put(t, known, catalog.LeafKey("new"), versioned("new", "v2"))
	put(t, known, catalog.LeafKey("new"), nil)
	memory := New(DefaultConfig(), known)
	is.Equal(candidateIDs(memory), []string{"old"})
}

// Lost canaries are remembered like leafs that serve, and by the current rule.
func TestLostCanariesAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		known := newVersioned(t, true)
		put(t, known, catalog.LeafKey("old"), versioned("old", "v1"))
		for _, id := range []string{"1", "2"} {
			put(t, known, catalog.LeafKey(id), versioned(id, "v2"))
		}
		memory := New(DefaultConfig(), known)
		time.Sleep(DefaultConfig().TrustAfterStart)
		put(t, known, catalog.LeafKey("1"), nil)
		is.Equal(len(memory.Canaries("s")), 1)
		put(t, known, catalog.LeafKey("2"), nil)
		is.Equal(len(memory.Canaries("s")), 2)
		is.True(memory.MaySend("1") && memory.MaySend("2"))
		time.Sleep(DefaultConfig().Retention + time.Millisecond)
		is.Equal(len(memory.Canaries("s")), 0)
		put(t, known, catalog.LeafKey("2"), versioned("2", "v2"))
		put(t, known, catalog.LeafKey("2"), nil)
		is.Equal(len(memory.Canaries("s")), 1)
		rollBack(t, known)
		is.Equal(len(memory.Canaries("s")), 0)
	})
}

// A node that starts uses only those leafs of the stored list that the rule allows.
func TestWrittenListGoesByTheRuleInForce(t *testing.T) {
	is := is.New(t)
	known := newVersioned(t, true)
	list := leafset.List{Leafs: []leafset.Record{versioned("bad", "v3"), versioned("new", "v2"), versioned("old", "v1")}}
	put(t, known, catalog.SavedLeafsKey, list)
	memory := New(DefaultConfig(), known)
	is.Equal(candidateIDs(memory), []string{"old"})
	is.True(memory.MaySend("old"))
	is.True(memory.MaySend("new"))
	is.True(!memory.MaySend("bad"))
	ids := memory.IDs()
	slices.Sort(ids)
	is.Equal(ids, []string{"new", "old"})
}

// The stored list includes versions: without them a node that starts would ask any leaf of it.
func TestWrittenListKeepsVersions(t *testing.T) {
	is := is.New(t)
	known := newVersioned(t, false)
	put(t, known, catalog.LeafKey("old"), versioned("old", "v1"))
	is.Equal(records(known.View().Leafs), []leafset.Record{versioned("old", "v1")})
}

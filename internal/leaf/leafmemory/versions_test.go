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

// newVersioned gives a catalog whose service is served by v1, with v2 on trial if ordered.
func newVersioned(t *testing.T, ordered bool) *catalog.Catalog {
	t.Helper()
	known := catalog.New(func(key string, err error) { t.Errorf("%s: %v", key, err) })
	known.EnableRollouts()
	put(t, known, catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"v1": {"s"}}})
	if ordered {
		put(t, known, catalog.RolloutKey("s"), rollout.Order{Service: "s", Target: "v2", DurationMillis: 1000})
	}
	return known
}

func versioned(id, version string) leafset.Record {
	made := record(id, leafset.Ready)
	made.Version = version
	return made
}

// rollBack writes that the order in force was found bad.
func rollBack(t *testing.T, known *catalog.Catalog) {
	t.Helper()
	order := known.View().Rollouts["s"].Order.Revision
	put(t, known, catalog.RolloutStateKey("s"), rollout.State{Service: "s", OrderRevision: order, Phase: rollout.RolledBack, Serving: "v1", Target: "v2"})
}

func candidateIDs(memory *Memory) []string {
	leafs, _ := memory.Candidates("s")
	ids := []string{}
	for _, leaf := range leafs {
		ids = append(ids, leaf.ID)
	}
	return ids
}

func TestLeafOnTrialMayBeAskedAndIsNoCandidate(t *testing.T) {
	is := is.New(t)
	known := newVersioned(t, true)
	put(t, known, catalog.LeafKey("new"), versioned("new", "v2"))
	memory := New(DefaultConfig(), known)
	is.True(memory.MaySend("new"))
	is.Equal(candidateIDs(memory), []string{})
	is.Equal(memory.IDs(), []string{"new"})
	rollBack(t, known)
	is.True(!memory.MaySend("new"))
	is.Equal(memory.IDs(), nil) // nor is a connection to it kept
}

func TestBarredLeafMayNotBeAsked(t *testing.T) {
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

// Of the leafs lost a moment ago only those that serve are a last resort, also after the rule has changed.
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

// Lost leafs that may not be asked don't hide those written down that may.
func TestLostLeafsDontHideWrittenOnes(t *testing.T) {
	is := is.New(t)
	known := newVersioned(t, true)
	put(t, known, catalog.RememberedKey, leafset.List{Leafs: []leafset.Record{versioned("old", "v1")}})
	put(t, known, catalog.LeafKey("new"), versioned("new", "v2"))
	put(t, known, catalog.LeafKey("new"), nil)
	memory := New(DefaultConfig(), known)
	is.Equal(candidateIDs(memory), []string{"old"})
}

// Leafs of the version on trial are remembered as those that serve are, and by the rule in force.
func TestLostLeafsOnTrialAreHeld(t *testing.T) {
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
		is.Equal(len(memory.OnTrial("s")), 1)
		put(t, known, catalog.LeafKey("2"), nil)
		is.Equal(len(memory.OnTrial("s")), 2)
		is.True(memory.MaySend("1") && memory.MaySend("2"))
		time.Sleep(DefaultConfig().Hold + time.Millisecond)
		is.Equal(len(memory.OnTrial("s")), 0)
		put(t, known, catalog.LeafKey("2"), versioned("2", "v2"))
		put(t, known, catalog.LeafKey("2"), nil)
		is.Equal(len(memory.OnTrial("s")), 1)
		rollBack(t, known)
		is.Equal(len(memory.OnTrial("s")), 0)
	})
}

// A node that starts believes of the list written down only what the rule lets serve, and asks the rest of it by the
// rule as well.
func TestWrittenListGoesByTheRuleInForce(t *testing.T) {
	is := is.New(t)
	known := newVersioned(t, true)
	list := leafset.List{Leafs: []leafset.Record{versioned("bad", "v3"), versioned("new", "v2"), versioned("old", "v1")}}
	put(t, known, catalog.RememberedKey, list)
	memory := New(DefaultConfig(), known)
	is.Equal(candidateIDs(memory), []string{"old"})
	is.True(memory.MaySend("old"))
	is.True(memory.MaySend("new"))
	is.True(!memory.MaySend("bad"))
	ids := memory.IDs()
	slices.Sort(ids)
	is.Equal(ids, []string{"new", "old"})
}

// The list that is written down keeps versions: without them a node that starts would ask any leaf of it.
func TestWrittenListKeepsVersions(t *testing.T) {
	is := is.New(t)
	known := newVersioned(t, false)
	put(t, known, catalog.LeafKey("old"), versioned("old", "v1"))
	is.Equal(records(known.View().Leafs), []leafset.Record{versioned("old", "v1")})
}

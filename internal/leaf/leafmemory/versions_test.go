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

// newVersionedCatalog returns a catalog whose service is served by v1, with v2 as the canary if withCanary is true.
func newVersionedCatalog(t *testing.T, withCanary bool) *catalog.Catalog {
	t.Helper()
	cat := catalog.New(func(key string, err error) { t.Errorf("%s: %v", key, err) })
	cat.EnableRollouts()
	put(t, cat, catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"v1": {"s"}}})
	if withCanary {
		put(t, cat, catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: "v2", DurationMillis: 1000})
	}
	return cat
}

func versionedRecord(id, version string) leafset.Record {
	made := record(id, leafset.Ready)
	made.Version = version
	return made
}

// rollBack stores that the current rollout spec was rolled back.
func rollBack(t *testing.T, cat *catalog.Catalog) {
	t.Helper()
	specID := cat.View().Rollouts["s"].Spec.Revision
	put(t, cat, catalog.RolloutStateKey("s"), rollout.State{Service: "s", SpecRevision: specID, Phase: rollout.PhaseRolledBack, Serving: "v1", Target: "v2"})
}

func candidateIDs(memory *Memory) []string {
	leafs, _ := memory.Candidates("s")
	ids := []string{}
	for _, leaf := range leafs {
		ids = append(ids, leaf.ID)
	}
	return ids
}

func TestCanaryMayBeSentRequestsButIsNotCandidate(t *testing.T) {
	is := is.New(t)
	cat := newVersionedCatalog(t, true)
	put(t, cat, catalog.LeafKey("new"), versionedRecord("new", "v2"))
	memory := New(DefaultConfig(), cat)
	is.True(memory.MaySend("new"))
	is.Equal(candidateIDs(memory), []string{})
	is.Equal(memory.IDs(), []string{"new"})
	rollBack(t, cat)
	is.True(!memory.MaySend("new"))
	is.Equal(memory.IDs(), nil) // connections to the leaf are closed, too
}

func TestDisallowedLeafMayNotBeSentRequests(t *testing.T) {
	is := is.New(t)
	cat := newVersionedCatalog(t, false)
	put(t, cat, catalog.LeafKey("other"), versionedRecord("other", "v2"))
	memory := New(DefaultConfig(), cat)
	is.True(!memory.MaySend("other"))
	is.Equal(candidateIDs(memory), []string{})
	put(t, cat, catalog.LeafKey("untold"), versionedRecord("untold", ""))
	is.True(memory.MaySend("untold"))
	is.Equal(candidateIDs(memory), []string{"untold"})
}

// Of the recently lost leafs, only those whose version serves by the current rule are a last resort.
func TestLostLeafsFollowCurrentRule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := newVersionedCatalog(t, true)
		put(t, cat, catalog.LeafKey("old"), versionedRecord("old", "v1"))
		put(t, cat, catalog.LeafKey("new"), versionedRecord("new", "v2"))
		memory := New(DefaultConfig(), cat)
		time.Sleep(DefaultConfig().StoredListAfterStart)
		put(t, cat, catalog.LeafKey("old"), nil)
		put(t, cat, catalog.LeafKey("new"), nil)
		is.Equal(candidateIDs(memory), []string{"old"})
		is.True(memory.MaySend("new"))
		rollBack(t, cat)
		is.True(!memory.MaySend("new"))
		is.True(memory.MaySend("old"))
		is.Equal(memory.IDs(), []string{"old"})
	})
}

// Lost leafs that must not get requests don't prevent the use of leafs on the stored list.
func TestExcludedLostLeafsDoNotHideStoredOnes(t *testing.T) {
	is := is.New(t)
	cat := newVersionedCatalog(t, true)
	put(t, cat, catalog.StoredLeafsKey, leafset.List{Leafs: []leafset.Record{versionedRecord("old", "v1")}})
	put(t, cat, catalog.LeafKey("new"), versionedRecord("new", "v2"))
	put(t, cat, catalog.LeafKey("new"), nil)
	memory := New(DefaultConfig(), cat)
	is.Equal(candidateIDs(memory), []string{"old"})
}

// Lost canary leafs are usable within the retention, like leafs that serve, but only while the rule allows them.
func TestLostCanaryLeafsAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := newVersionedCatalog(t, true)
		put(t, cat, catalog.LeafKey("old"), versionedRecord("old", "v1"))
		for _, id := range []string{"1", "2"} {
			put(t, cat, catalog.LeafKey(id), versionedRecord(id, "v2"))
		}
		memory := New(DefaultConfig(), cat)
		time.Sleep(DefaultConfig().StoredListAfterStart)
		put(t, cat, catalog.LeafKey("1"), nil)
		is.Equal(len(memory.CanaryLeafs("s")), 1)
		put(t, cat, catalog.LeafKey("2"), nil)
		is.Equal(len(memory.CanaryLeafs("s")), 2)
		is.True(memory.MaySend("1") && memory.MaySend("2"))
		time.Sleep(DefaultConfig().Retention + time.Millisecond)
		is.Equal(len(memory.CanaryLeafs("s")), 0)
		put(t, cat, catalog.LeafKey("2"), versionedRecord("2", "v2"))
		put(t, cat, catalog.LeafKey("2"), nil)
		is.Equal(len(memory.CanaryLeafs("s")), 1)
		rollBack(t, cat)
		is.Equal(len(memory.CanaryLeafs("s")), 0)
	})
}

// A node that starts uses only the leafs of the stored list that the current rule allows.
func TestStoredListFollowsCurrentRule(t *testing.T) {
	is := is.New(t)
	cat := newVersionedCatalog(t, true)
	list := leafset.List{Leafs: []leafset.Record{versionedRecord("bad", "v3"), versionedRecord("new", "v2"), versionedRecord("old", "v1")}}
	put(t, cat, catalog.StoredLeafsKey, list)
	memory := New(DefaultConfig(), cat)
	is.Equal(candidateIDs(memory), []string{"old"})
	is.True(memory.MaySend("old"))
	is.True(memory.MaySend("new"))
	is.True(!memory.MaySend("bad"))
	ids := memory.IDs()
	slices.Sort(ids)
	is.Equal(ids, []string{"new", "old"})
}

// The stored list includes versions. Without them, a node that starts would send requests to leafs of any version.
func TestStoredListKeepsVersions(t *testing.T) {
	is := is.New(t)
	cat := newVersionedCatalog(t, false)
	put(t, cat, catalog.LeafKey("old"), versionedRecord("old", "v1"))
	is.Equal(records(cat.View().Leafs), []leafset.Record{versionedRecord("old", "v1")})
}

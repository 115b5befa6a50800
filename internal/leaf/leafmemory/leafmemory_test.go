package leafmemory

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// put sets a key of a catalog as a watch event does; a nil value deletes the key.
func put(t *testing.T, cat *catalog.Catalog, key string, value any) {
	t.Helper()
	entry := catalog.Entry{Key: key, Revision: cat.Revision() + 1, Deleted: value == nil}
	if value != nil {
		content, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if entry.Value, err = catalog.NewDocument("", content, nil); err != nil {
			t.Fatal(err)
		}
	}
	cat.Apply(catalog.Change{Entry: entry, Previous: cat.Revision()})
}

func record(id string, state leafset.State) leafset.Record {
	return leafset.Record{Name: id, Service: "s", Address: "127.0.0.1:1", State: state}
}

func TestLostLeafsAreLastResortWithinRetention(t *testing.T) {
	is := is.New(t)
	cat := catalog.New(nil)
	put(t, cat, catalog.LeafKey("a"), record("a", leafset.Ready))
	put(t, cat, catalog.LeafKey("b"), record("b", leafset.Ready))
	now := time.Now()
	memory := New(DefaultConfig(), cat)
	memory.now = func() time.Time { return now }
	leafs, lastResort := memory.Candidates("s")
	is.Equal(len(leafs), 2)
	is.True(!lastResort)

	put(t, cat, catalog.LeafKey("a"), record("a", leafset.Draining))
	leafs, lastResort = memory.Candidates("s")
	is.Equal(len(leafs), 1) // a draining leaf gets no requests while there is another
	is.True(!lastResort)

	put(t, cat, catalog.LeafKey("b"), nil)
	leafs, lastResort = memory.Candidates("s")
	is.Equal(len(leafs), 2)
	is.True(lastResort)
	is.Equal(len(memory.IDs()), 2+len([]string{"a"})) // the draining leaf "a" is listed and also counts as lost, so its ID occurs twice

	now = now.Add(DefaultConfig().Retention + time.Millisecond)
	leafs, _ = memory.Candidates("s")
	is.Equal(len(leafs), 0)
}

func TestStoredListIsUsedOnlyAfterStart(t *testing.T) {
	is := is.New(t)
	cat := catalog.New(nil)
	put(t, cat, catalog.StoredLeafsKey, leafset.List{Leafs: []leafset.Record{record("a", leafset.Ready)}})
	now := time.Now()
	memory := New(DefaultConfig(), cat)
	memory.now = func() time.Time { return now }
	leafs, lastResort := memory.Candidates("s")
	is.Equal(len(leafs), 1)
	is.True(lastResort)
	now = now.Add(DefaultConfig().StoredListAfterStart + time.Millisecond)
	leafs, _ = memory.Candidates("s")
	is.Equal(len(leafs), 0)
}

func TestListIsStoredAfterDelayByRank(t *testing.T) {
	is := is.New(t)
	cat := catalog.New(nil)
	for _, id := range []string{"n1", "n2", "n3"} {
		put(t, cat, catalog.NodeKey(id), catalog.NodeRecord{ID: id})
	}
	put(t, cat, catalog.LeafKey("a"), record("a", leafset.Ready))
	now := time.Now()
	var writers []*Writer
	for _, id := range []string{"n1", "n2", "n3"} {
		writer := NewWriter(DefaultConfig(), cat, nil, id, zap.NewNop())
		is.True(!writer.isDue(now)) // the leafs are new
		writers = append(writers, writer)
	}
	due := func(after time.Duration) int {
		count := 0
		for _, writer := range writers {
			if writer.isDue(now.Add(after)) {
				count++
			}
		}
		return count
	}
	delay := DefaultConfig().WriteDelay
	is.Equal(due(delay/2), 0)
	is.Equal(due(delay), 1)
	is.Equal(due(2*delay), 2)
	is.Equal(due(3*delay), 3)
	put(t, cat, catalog.StoredLeafsKey, leafset.List{Leafs: []leafset.Record{record("a", leafset.Ready)}})
	is.Equal(due(3*delay), 0)
	put(t, cat, catalog.LeafKey("a"), record("a", leafset.Draining))
	is.Equal(due(3*delay), 0) // a list without ready leafs is never stored
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{Retention: -1, StoredListAfterStart: -1, MaximumLeafs: -1}.Validate())), 4)
}

// Leafs of an evacuated zone are not a last resort, whether they were lost recently or are on the stored list.
func TestEvacuatedLeafsAreNotLastResort(t *testing.T) {
	is := is.New(t)
	cat := catalog.New(nil)
	inZone := func(id, zone string) leafset.Record {
		made := record(id, leafset.Ready)
		made.Zone = zone
		return made
	}
	put(t, cat, catalog.LeafKey("a"), inZone("a", "east"))
	put(t, cat, catalog.StoredLeafsKey, leafset.List{Leafs: []leafset.Record{inZone("a", "east"), inZone("b", "west")}})
	memory := New(DefaultConfig(), cat)
	is.True(memory.MaySend("a"))
	put(t, cat, catalog.EvacuationKey("east"), struct{}{})
	is.True(!memory.MaySend("a"))
	leafs, _ := memory.Candidates("s")
	is.Equal(len(leafs), 1) // the leaf is on the stored list
	is.Equal(leafs[0].ID, "b")
	put(t, cat, catalog.LeafKey("a"), nil)
	is.True(!memory.MaySend("a"))
	leafs, _ = memory.Candidates("s")
	is.Equal(len(leafs), 1)
	put(t, cat, catalog.EvacuationKey("east"), nil)
	is.True(memory.MaySend("a")) // the leaf was lost recently, and its zone is no longer evacuated
}

// A leaf that starts to drain may be sent requests until the end of the retention, and again when it is ready.
func TestDrainingLeafMayBeSentRequestsWithinRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := catalog.New(nil)
		put(t, cat, catalog.LeafKey("a"), record("a", leafset.Ready))
		memory := New(DefaultConfig(), cat)
		time.Sleep(DefaultConfig().StoredListAfterStart)
		is.True(memory.MaySend("a"))
		is.True(!memory.MaySend("other"))
		put(t, cat, catalog.LeafKey("a"), record("a", leafset.Draining))
		is.True(memory.MaySend("a"))
		time.Sleep(DefaultConfig().Retention + time.Millisecond)
		is.True(!memory.MaySend("a"))
		put(t, cat, catalog.LeafKey("a"), record("a", leafset.Ready))
		is.True(memory.MaySend("a"))
	})
}

// The retention of a lost leaf starts when the node applies the change, not at the first request after it. Otherwise, a
// node with few requests would send them to leafs that drained long ago.
func TestRetentionStartsWhenLossIsApplied(t *testing.T) {
	losses := map[string]func(cat *catalog.Catalog){
		"drained":  func(cat *catalog.Catalog) { put(t, cat, catalog.LeafKey("a"), record("a", leafset.Draining)) },
		"removed":  func(cat *catalog.Catalog) { put(t, cat, catalog.LeafKey("a"), nil) },
		"replaced": func(cat *catalog.Catalog) { cat.Replace(catalog.Snapshot{Revision: cat.Revision() + 1}) },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cat := catalog.New(nil)
				put(t, cat, catalog.LeafKey("a"), record("a", leafset.Ready))
				memory, other := New(DefaultConfig(), cat), New(DefaultConfig(), cat)
				time.Sleep(time.Minute)
				lose(cat)
				time.Sleep(DefaultConfig().Retention / 2)
				leafs, _ := memory.Candidates("s")
				is.Equal(len(leafs), 1)
				is.True(memory.MaySend("a"))
				time.Sleep(DefaultConfig().Retention)
				leafs, _ = other.Candidates("s") // this is the first call since the loss
				is.Equal(len(leafs), 0)
				is.True(!other.MaySend("a"))
				is.Equal(len(other.IDs()), cat.View().Leafs.Len())
			})
		})
	}
}

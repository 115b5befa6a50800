package evidence

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
)

func put(t *testing.T, nodeCatalog *catalog.Catalog, key string, document any) int64 {
	t.Helper()
	var content json.RawMessage
	if document != nil {
		var err error
		if content, err = json.Marshal(document); err != nil {
			t.Fatal(err)
		}
	}
	wrapped, err := catalog.NewDocument("", content, nil)
	if err != nil {
		t.Fatal(err)
	}
	revision := nodeCatalog.Revision() + 1
	nodeCatalog.Apply(catalog.Change{
		Entry: catalog.Entry{Key: key, Value: wrapped, Revision: revision, Deleted: document == nil}, Previous: revision - 1,
	})
	return revision
}

// newTestCollector returns a collector, its catalog with a spec that moves service "s" from v1 to v2, and the spec ID.
func newTestCollector(t *testing.T) (*Collector, *catalog.Catalog, int64) {
	t.Helper()
	nodeCatalog := catalog.New(func(key string, err error) { t.Fatal(key, err) })
	nodeCatalog.EnableRollouts()
	put(t, nodeCatalog, catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"v1": {"s", "other"}}})
	specID := put(t, nodeCatalog, catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: "v2", DurationMillis: 1000})
	return NewCollector(nodeCatalog), nodeCatalog, specID
}

func leaf(id, service, version string) *leafset.Leaf {
	return leafset.NewLeaf(leafset.Record{Name: id, Service: service, Version: version, Zone: "z-" + id}, 0, time.Time{})
}

// Each canary leaf has its own row per route, all serving leafs have one common row per route, and other leafs have
// none.
func TestEachCanaryLeafHasItsOwnRow(t *testing.T) {
	is := is.New(t)
	c, _, specID := newTestCollector(t)
	for _, observed := range []*leafset.Leaf{
		leaf("a", "s", "v1"), leaf("b", "s", "v1"), leaf("c", "s", "v2"), leaf("d", "s", "v2"), leaf("e", "s", "v3"), leaf("f", "other", "v1"),
	} {
		c.Observe("r", observed, observed.ID == "c", time.Millisecond)
		c.ObserveCancelled("r", observed, time.Second)
	}
	c.Observe("q", leaf("a", "s", "v1"), false, time.Millisecond)
	attempts := map[Key]int64{}
	for _, row := range c.Rows() {
		attempts[row.Key] = row.Attempts()
		is.Equal(row.Failures > 0, row.Leaf == "c")
	}
	is.Equal(attempts, map[Key]int64{
		{Service: "s", SpecID: specID, Route: "r", Version: "v1"}:                         4,
		{Service: "s", SpecID: specID, Route: "q", Version: "v1"}:                         1,
		{Service: "s", SpecID: specID, Route: "r", Version: "v2", Leaf: "c", Zone: "z-c"}: 2,
		{Service: "s", SpecID: specID, Route: "r", Version: "v2", Leaf: "d", Zone: "z-d"}: 2,
	})
}

// An attempt that ends after its spec was replaced is not counted for the next spec.
func TestAttemptOfReplacedSpecIsNotCounted(t *testing.T) {
	is := is.New(t)
	c, nodeCatalog, _ := newTestCollector(t)
	put(t, nodeCatalog, catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: "v3", DurationMillis: 1000})
	c.count("r", leaf("c", "s", "v2"), func(tally *Tally) { tally.Observe(true, time.Millisecond) })
	is.Equal(len(c.Rows()), 0)
}

// TakeChanged returns rows with all their counts, in the order of their first change.
func TestChangedRowsAreTakenInOrder(t *testing.T) {
	is := is.New(t)
	c, _, _ := newTestCollector(t)
	observe := func(id string) { c.Observe("r", leaf(id, "s", "v2"), false, time.Millisecond) }
	take := func(limit int) (taken string) {
		for _, row := range c.TakeChanged(limit) {
			taken += fmt.Sprint(row.Leaf, row.Attempts())
		}
		return taken
	}
	observe("a")
	observe("b")
	observe("c")
	observe("a")
	is.Equal(take(2), "a2b1")
	observe("a")
	is.Equal(take(-1), "")
	is.Equal(take(9), "c1a3")
	is.Equal(take(9), "")
	taken := c.Rows()
	observe("a")
	for _, row := range taken {
		is.True(row.Attempts() <= 3) // the returned rows are copies
	}
}

// Rows are dropped when their spec is no longer in force. The counts of the next spec start at zero.
func TestRowsAreDroppedWithTheirSpec(t *testing.T) {
	is := is.New(t)
	c, nodeCatalog, _ := newTestCollector(t)
	observe := func() { c.Observe("r", leaf("a", "s", "v2"), false, time.Millisecond) }
	observe()
	next := put(t, nodeCatalog, catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: "v2", DurationMillis: 1000})
	is.Equal(len(c.TakeChanged(9))+len(c.Rows()), 0)
	observe()
	is.Equal(c.Rows()[0].SpecID, next)
	is.Equal(c.Rows()[0].Attempts(), int64(1))
	put(t, nodeCatalog, catalog.RolloutStateKey("s"), rollout.State{Service: "s", SpecRevision: next, Phase: rollout.PhaseSucceeded, Serving: "v1", Target: "v2"})
	is.Equal(len(c.TakeChanged(9))+len(c.Rows()), 0)
	observe()
	is.Equal(len(c.Rows()), 0)
}

// The number of rows is bounded. Existing rows are still counted when the bound is reached.
func TestRowsAreBounded(t *testing.T) {
	is := is.New(t)
	c, _, _ := newTestCollector(t)
	var counting sync.WaitGroup
	for index := range 2 * maxRows {
		counting.Go(func() { c.Observe("r", leaf(fmt.Sprint(index), "s", "v2"), false, time.Millisecond) })
	}
	counting.Wait()
	is.Equal(len(c.Rows()), maxRows)
	is.Equal(len(c.TakeChanged(2*maxRows)), maxRows)
	existing := c.Rows()[0].Leaf
	c.Observe("r", leaf(existing, "s", "v2"), false, time.Millisecond)
	is.Equal(len(c.TakeChanged(9)), 1)
}

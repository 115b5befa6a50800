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

func put(t *testing.T, known *catalog.Catalog, key string, document any) int64 {
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
	revision := known.Revision() + 1
	known.Apply(catalog.Change{
		Entry: catalog.Entry{Key: key, Value: wrapped, Revision: revision, Deleted: document == nil}, Previous: revision - 1,
	})
	return revision
}

// ordered returns a collector of a node that knows a spec to move service s from v1 to v2.
func ordered(t *testing.T) (*Collector, *catalog.Catalog, int64) {
	t.Helper()
	known := catalog.New(func(key string, err error) { t.Fatal(key, err) })
	known.EnableRollouts()
	put(t, known, catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"v1": {"s", "other"}}})
	specID := put(t, known, catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: "v2", DurationMillis: 1000})
	return NewCollector(known), known, specID
}

func leaf(id, service, version string) *leafset.Leaf {
	return leafset.NewLeaf(leafset.Record{Name: id, Service: service, Version: version, Zone: "z-" + id}, 0, time.Time{})
}

// Canaries have a row each, those that serve share one for each route; other leafs have none.
func TestEachCanaryHasItsOwnRow(t *testing.T) {
	is := is.New(t)
	c, _, specID := ordered(t)
	for _, one := range []*leafset.Leaf{
		leaf("a", "s", "v1"), leaf("b", "s", "v1"), leaf("c", "s", "v2"), leaf("d", "s", "v2"), leaf("e", "s", "v3"), leaf("f", "other", "v1"),
	} {
		c.Observe("r", one, one.ID == "c", time.Millisecond)
		c.ObserveAbandoned("r", one, time.Second)
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

// An attempt that ends while its spec is replaced is not counted for the next one.
func TestAttemptOfAnotherOrderIsNotCounted(t *testing.T) {
	is := is.New(t)
	c, known, _ := ordered(t)
	put(t, known, catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: "v3", DurationMillis: 1000})
	c.count("r", leaf("c", "s", "v2"), func(tally *Tally) { tally.Observe(true, time.Millisecond) })
	is.Equal(len(c.Rows()), 0)
}

// Rows are returned when they have changed, each with all of its counts, the longest waiting first.
func TestChangedRowsAreTakenInTurn(t *testing.T) {
	is := is.New(t)
	c, _, _ := ordered(t)
	observe := func(id string) { c.Observe("r", leaf(id, "s", "v2"), false, time.Millisecond) }
	take := func(most int) (taken string) {
		for _, row := range c.TakeChanged(most) {
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
		is.True(row.Attempts() <= 3) // what was given does not change
	}
}

// Rows of a spec are dropped when it is no longer in force; the next one starts at zero.
func TestRowsAreDroppedWithTheirSpec(t *testing.T) {
	is := is.New(t)
	c, known, _ := ordered(t)
	observe := func() { c.Observe("r", leaf("a", "s", "v2"), false, time.Millisecond) }
	observe()
	next := put(t, known, catalog.RolloutKey("s"), rollout.Spec{Service: "s", Target: "v2", DurationMillis: 1000})
	is.Equal(len(c.TakeChanged(9))+len(c.Rows()), 0)
	observe()
	is.Equal(c.Rows()[0].SpecID, next)
	is.Equal(c.Rows()[0].Attempts(), int64(1))
	put(t, known, catalog.RolloutStateKey("s"), rollout.State{Service: "s", SpecRevision: next, Phase: rollout.Succeeded, Serving: "v1", Target: "v2"})
	is.Equal(len(c.TakeChanged(9))+len(c.Rows()), 0)
	observe()
	is.Equal(len(c.Rows()), 0)
}

// The number of rows is bounded; existing rows go on counting.
func TestRowsAreBounded(t *testing.T) {
	is := is.New(t)
	c, _, _ := ordered(t)
	var counting sync.WaitGroup
	for index := range 2 * maxRows {
		counting.Go(func() { c.Observe("r", leaf(fmt.Sprint(index), "s", "v2"), false, time.Millisecond) })
	}
	counting.Wait()
	is.Equal(len(c.Rows()), maxRows)
	is.Equal(len(c.TakeChanged(2*maxRows)), maxRows)
	kept := c.Rows()[0].Leaf
	c.Observe("r", leaf(kept, "s", "v2"), false, time.Millisecond)
	is.Equal(len(c.TakeChanged(9)), 1)
}

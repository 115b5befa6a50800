package catalog

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func evacuationChange(t interface{ Fatal(...any) }, revision int64, zone string, deleted bool) Change {
	value, err := NewDocument("", json.RawMessage(`{}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	return Change{Entry: Entry{Key: EvacuationKey(zone), Value: value, Revision: revision, Deleted: deleted}, Previous: revision - 1}
}

// In any order of changes and whole states, the zones evacuated on a node match the store at the node's revision: an
// older state never ends or restores an evacuation.
func TestEvacuationsMatchStoreInAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "changes")
		var log []Change
		for revision := range int64(count) {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			log = append(log, evacuationChange(t, revision+1, zone, rapid.Bool().Draw(t, "ended")))
		}
		node := New(nil)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			from := rapid.IntRange(0, count-1).Draw(t, "from")
			to := rapid.IntRange(from+1, count).Draw(t, "to")
			if rapid.Bool().Draw(t, "whole") {
				node.Replace(withoutTombstones(stateAt(log, int64(to))))
			} else {
				node.ApplyAll(log[from:to])
			}
			checkEvacuations(t, node, log)
		}
	})
}

// withoutTombstones returns a state as a store without tombstones returns it.
func withoutTombstones(state Snapshot) Snapshot {
	kept := Snapshot{Revision: state.Revision}
	for _, entry := range state.Entries {
		if !entry.Deleted {
			kept.Entries = append(kept.Entries, entry)
		}
	}
	return kept
}

func checkEvacuations(t *rapid.T, node *Catalog, log []Change) {
	wanted := map[string]bool{}
	for _, entry := range withoutTombstones(stateAt(log, node.Revision())).Entries {
		wanted[entry.Key] = true
	}
	leafs := node.View().Leafs
	for _, zone := range []string{"a", "b"} {
		if leafs.IsEvacuated(zone) != wanted[EvacuationKey(zone)] {
			t.Fatalf("zone %s at revision %d: evacuated %v", zone, node.Revision(), leafs.IsEvacuated(zone))
		}
	}
}

// The difference between two whole states includes the end of an evacuation.
func TestDifferenceIncludesEndOfEvacuation(t *testing.T) {
	is := is.New(t)
	started := evacuationChange(t, 1, "a", false)
	first, second := New(nil), New(nil)
	first.Apply(started)
	second.Apply(started)
	first.Replace(Snapshot{Revision: 5})
	changes, kept := first.Since(1)
	is.True(kept)
	is.True(second.ApplyAll(changes))
	is.True(!second.View().Leafs.IsEvacuated("a"))
}

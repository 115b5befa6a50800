package catalog

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
)

func serviceChange(t interface{ Fatal(...any) }, revision int64, name string, limit uint32, deleted bool) Change {
	spec := &adminv1.ServiceSpec{Name: name, ConcurrencyLimit: limit}
	value, err := NewEnvelope("c", spec, nil)
	if err != nil {
		t.Fatal(err)
	}
	return Change{Entry: Entry{Key: ServiceKey(name), Value: value, Revision: revision, Deleted: deleted}, Previous: revision - 1}
}

// In any order of single changes, batches, old states and repeats, a node's revision never decreases, and its
// configuration is the store's state at that revision.
func TestCatalogMatchesStoreInAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		count := rapid.IntRange(1, 20).Draw(t, "changes")
		var log []Change
		for revision := range int64(count) {
			log = append(log, serviceChange(t, revision+1, rapid.SampledFrom(names).Draw(t, "name"), uint32(revision+1), rapid.Bool().Draw(t, "deleted")))
		}
		node := New(nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := node.Revision()
			from := rapid.IntRange(0, count-1).Draw(t, "from")
			to := rapid.IntRange(from+1, count).Draw(t, "to")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				node.Apply(log[from])
			case 1:
				node.ApplyAll(log[from:to])
			case 2:
				node.Replace(stateAt(log, int64(to)))
			}
			if node.Revision() < before {
				t.Fatalf("revision went from %d to %d", before, node.Revision())
			}
			checkView(t, node, log)
		}
	})
}

func stateAt(log []Change, revision int64) Snapshot {
	entries := map[string]Entry{}
	for _, change := range log[:revision] {
		entries[change.Entry.Key] = change.Entry
	}
	snapshot := Snapshot{Revision: revision}
	for _, entry := range entries {
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	return snapshot
}

func checkView(t *rapid.T, node *Catalog, log []Change) {
	view := node.View()
	for _, entry := range stateAt(log, view.Revision).Entries {
		name := strings.TrimPrefix(entry.Key, servicePrefix)
		service := view.Services[name]
		if service == nil || service.Revision != entry.Revision || (service.Spec == nil) != entry.Deleted {
			t.Fatalf("service %s at revision %d is not the store's", name, view.Revision)
		}
		if !entry.Deleted && service.Spec.GetConcurrencyLimit() != uint32(entry.Revision) {
			t.Fatalf("service %s has limit %d at revision %d", name, service.Spec.GetConcurrencyLimit(), entry.Revision)
		}
	}
}

func TestSinceReturnsMissedChanges(t *testing.T) {
	is := is.New(t)
	node, other := New(nil), New(nil)
	for revision := range int64(maxRecentChanges + 10) {
		node.Apply(serviceChange(t, revision+1, "a", uint32(revision+1), false))
	}
	_, kept := node.Since(3)
	is.True(!kept) // too far behind, so the whole state is needed
	other.Replace(node.Snapshot())
	is.Equal(other.Revision(), node.Revision())
	missed, kept := node.Since(node.Revision() - 5)
	is.True(kept)
	is.Equal(len(missed), 5)
}

// A replaced state is kept as one change, which includes removed records and also applies to a node between the two
// revisions.
func TestReplacedStateIsKeptAsOneChange(t *testing.T) {
	is := is.New(t)
	first, between := New(nil), New(nil)
	log := []Change{serviceChange(t, 1, "a", 1, false), serviceChange(t, 2, "b", 2, false)}
	gone := Change{Entry: Entry{Key: LeafKey("i-1"), Value: leafValue(t), Revision: 3}, Previous: 2}
	log = append(log, gone, serviceChange(t, 4, "c", 4, false), serviceChange(t, 5, "a", 5, false))
	first.ApplyAll(log[:3])
	between.ApplyAll(log[:4])
	state := stateAt(log, 5)
	state.Entries = slices.DeleteFunc(state.Entries, func(entry Entry) bool { return entry.Key == LeafKey("i-1") })
	state.Revision = 6
	is.True(first.Replace(state))
	changes, kept := first.Since(3)
	is.True(kept)
	is.Equal(len(changes), 1)
	is.Equal(len(changes[0].More), 3) // a, c and the removed leaf
	is.True(between.ApplyAll(changes))
	for _, node := range []*Catalog{first, between} {
		is.Equal(node.Revision(), int64(6))
		is.Equal(node.View().Services["a"].Revision, int64(5))
		is.Equal(node.View().Services["c"].Revision, int64(4))
		is.Equal(len(node.View().Leafs.IDs()), 0)
	}
	_, kept = first.Since(2)
	is.True(kept) // the earlier changes are still kept
}

func leafValue(t *testing.T) []byte {
	t.Helper()
	value, err := NewDocument("c", []byte(`{"id":"i-1","service":"a","address":"10.0.0.1:80","zone":"z","state":"ready"}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestUndecodableValueKeepsLastValidValue(t *testing.T) {
	is := is.New(t)
	rejected := ""
	node := New(func(key string, _ error) { rejected = key })
	node.Apply(serviceChange(t, 1, "a", 7, false))
	node.Apply(Change{Entry: Entry{Key: ServiceKey("a"), Value: []byte(`"garbage"`), Revision: 2}, Previous: 1})
	is.Equal(node.Revision(), int64(2))
	is.Equal(node.View().Services["a"].Spec.GetConcurrencyLimit(), uint32(7))
	is.Equal(rejected, ServiceKey("a"))
}

func TestHistoryFindsOverwrittenChange(t *testing.T) {
	is := is.New(t)
	spec := &adminv1.ServiceSpec{Name: "a"}
	entry := &Entry{Revision: 0}
	for number := range 5 {
		value, err := NewEnvelope(string(rune('a'+number)), spec, entry)
		is.NoErr(err)
		entry = &Entry{Value: value, Revision: entry.Revision + 1}
	}
	revision, found := FindChange(entry, "b")
	is.True(found)
	is.Equal(revision, int64(2))
	_, found = FindChange(entry, "z")
	is.True(!found)
}

func FuzzOpenEnvelope(f *testing.F) {
	f.Add([]byte(`{"change_id":"a","payload":"H4sI"}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		// The store may hold any value, so decoding must not panic.
		_, _ = OpenEnvelope(value)
		_, _ = DecodeService(Entry{Value: value})
		_, _ = DecodeManifest(Entry{Value: value})
	})
}

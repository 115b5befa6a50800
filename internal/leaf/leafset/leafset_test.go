package leafset

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// An edit never changes the original set, and each new set contains the result of the edit.
func TestSetsAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Empty()
		wanted := map[string]string{}
		for range rapid.IntRange(1, 30).Draw(t, "edits") {
			id := rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "id")
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			before := set
			sizeBefore, ofABefore := before.Len(), len(before.ByService("a"))
			editor := set.Edit()
			if rapid.Bool().Draw(t, "remove") {
				editor.Remove(id)
				delete(wanted, id)
			} else {
				editor.Put(NewLeaf(Record{Name: id, Service: service}, 0, time.Time{}))
				wanted[id] = service
			}
			set = editor.Done()
			if before.Len() != sizeBefore || len(before.ByService("a")) != ofABefore {
				t.Fatal("an edit changed the original set")
			}
			if set.Len() != len(wanted) || len(set.ByService("a"))+len(set.ByService("b")) != len(wanted) {
				t.Fatalf("the set has %d leafs, want %d", set.Len(), len(wanted))
			}
			for id, service := range wanted {
				if leaf, found := set.ByID(id); !found || leaf.Service != service {
					t.Fatalf("leaf %s is %v, want one of service %s", id, leaf, service)
				}
			}
		}
	})
}

func TestParseRejectsIncompleteRecords(t *testing.T) {
	is := is.New(t)
	for _, content := range []string{"{", `{"id":"1","service":"a"}`, `{"id":"1","address":"127.0.0.1:1"}`, `{"service":"a","address":"127.0.0.1:1"}`} {
		_, err := Parse([]byte(content))
		is.True(err != nil)
	}
	record, err := Parse([]byte(`{"id":"1","service":"a","address":"127.0.0.1:1","state":"ready"}`))
	is.NoErr(err)
	is.Equal(record.State, Ready)
	_, err = ParseList([]byte("["), 1)
	is.True(err != nil)
}

// The leafs of an evacuated zone remain in the set but are not ready until the evacuation ends.
func TestEvacuatedLeafsAreNotReady(t *testing.T) {
	is := is.New(t)
	editor := Empty().Edit()
	editor.Put(NewLeaf(Record{Name: "1", Service: "s", Zone: "a", State: Ready}, 0, time.Time{}))
	editor.Put(NewLeaf(Record{Name: "2", Service: "s", Zone: "b", State: Ready}, 0, time.Time{}))
	before := editor.Done()
	editor = before.Edit()
	editor.SetEvacuated("a", true)
	editor.Put(NewLeaf(Record{Name: "3", Service: "t", Zone: "a", State: Ready}, 0, time.Time{}))
	during := editor.Done()
	is.Equal(len(before.Ready("s")), 2)
	is.Equal(len(during.Ready("s")), 1)
	is.Equal(during.Ready("s")[0].ID, "2")
	is.Equal(len(during.Ready("t")), 0)
	is.Equal(len(during.ByService("s")), 2)
	is.Equal(during.EvacuatedZones(), []string{"a"})
	editor = during.Edit()
	editor.SetEvacuated("a", false)
	after := editor.Done()
	is.Equal(len(after.Ready("s")), 2)
	is.Equal(len(after.Ready("t")), 1)
	is.True(during.IsEvacuated("a"))
	is.True(!after.IsEvacuated("a"))
}

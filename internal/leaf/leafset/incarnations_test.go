package leafset

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// incarnation returns a leaf whose process started at the given time in Unix milliseconds.
func incarnation(born int64, state State) *Leaf {
	record := Record{Name: "a", Service: "s", Address: "127.0.0.1:1", State: state, Born: born}
	return NewLeaf(record, born+1, time.Time{})
}

// A leaf that restarts under the same name replaces the earlier incarnation, which is neither found by its ID nor
// recorded as lost.
func TestIncarnationsHaveDistinctIDs(t *testing.T) {
	cases := map[string]func(first *Set) *Set{
		"registers over the first": func(first *Set) *Set { return put(first, incarnation(20, Ready)) },
		"drains at once":           func(first *Set) *Set { return put(first, incarnation(20, Draining)) },
		"after the first was removed": func(first *Set) *Set {
			editor := first.Edit()
			editor.Remove("a")
			return put(editor.Done(), incarnation(20, Draining))
		},
		"in a replaced set": func(first *Set) *Set {
			editor := Replace(first)
			editor.Put(incarnation(20, Draining))
			return editor.Done()
		},
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := put(Empty(), incarnation(10, Ready))
			_, found := first.ByID("a@10")
			is.True(found)
			second := begin(first)
			is.Equal(second.IDs(), []string{"a@20"})
			_, found = second.ByID("a@10")
			is.True(!found)
			_, isLost := second.LostByID("a@10", time.Time{})
			is.True(!isLost)
			is.Equal(second.LostIDs(time.Time{}), nil)
			known, _ := second.ByName("a")
			is.Equal(known.Born, int64(20))
			is.Equal(len(second.ByService("s")), 1)
		})
	}
}

// An incarnation that is removed is recorded as lost under its ID, and is found under that ID when it is added again.
func TestUnlistedIncarnationIsLost(t *testing.T) {
	is := is.New(t)
	editor := put(Empty(), incarnation(10, Ready)).Edit()
	editor.Remove("a")
	without := editor.Done()
	is.Equal(without.LostIDs(time.Time{}), []string{"a@10"})
	_, isLost := without.LostByID("a@10", time.Time{})
	is.True(isLost)
	_, isLost = without.LostByID("a@9", time.Time{})
	is.True(!isLost)
	_, found := put(without, incarnation(10, Ready)).ByID("a@10")
	is.True(found)
}

// The ID of a leaf with an unknown start time is its name, even if the name contains the separator.
func TestIDWithoutStartTimeIsName(t *testing.T) {
	is := is.New(t)
	set := put(Empty(), NewLeaf(Record{Name: "a@10", Service: "s", State: Ready}, 1, time.Time{}))
	known, found := set.ByID("a@10")
	is.True(found)
	is.Equal(known.Name, "a@10")
	is.Equal(set.IDs(), []string{"a@10"})
}

// The stored list identifies incarnations, so that a leaf that has restarted since is not mistaken for the listed one.
func TestParseListKeepsIncarnations(t *testing.T) {
	is := is.New(t)
	set, err := ParseList([]byte(`{"leafs":[{"id":"a","service":"s","address":"127.0.0.1:1","state":"ready","born":10}]}`), 3)
	is.NoErr(err)
	is.Equal(set.IDs(), []string{"a@10"})
}

func put(set *Set, leaf *Leaf) *Set {
	editor := set.Edit()
	editor.Put(leaf)
	return editor.Done()
}

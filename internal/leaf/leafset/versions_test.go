package leafset

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/rollout"
)

func leafOf(id, version string, state State) *Leaf {
	return NewLeaf(Record{Name: id, Service: "s", Version: version, State: state}, 0, time.Time{})
}

// edited returns a set with some leafs added and some removed, where services default to the first version.
func edited(editor *Editor, leafs []*Leaf, removed ...string) *Set {
	editor.DefaultToFirstVersion()
	for _, leaf := range leafs {
		editor.Put(leaf)
	}
	for _, id := range removed {
		editor.Remove(id)
	}
	return editor.Done()
}

func withRule(set *Set, rule rollout.Rule) *Set {
	editor := set.Edit()
	editor.DefaultToFirstVersion()
	editor.SetRule("s", rule)
	return editor.Done()
}

func ids(leafs []*Leaf) []string {
	var named []string
	for _, leaf := range leafs {
		named = append(named, leaf.ID)
	}
	return named
}

func oldAndNew() (older, newer []*Leaf) {
	older = []*Leaf{leafOf("1", "v1", Ready)}
	newer = []*Leaf{leafOf("2", "v2", Ready), leafOf("3", "v2", Ready), leafOf("4", "v2", Draining)}
	return older, newer
}

func TestRuleParts(t *testing.T) {
	older, newer := oldAndNew()
	cases := []struct {
		name            string
		rule            rollout.Rule
		ready, canaries []string
		allowed         []string
	}{
		{"none", rollout.Rule{}, []string{"1", "2", "3"}, nil, []string{"1", "2", "3", "4"}},
		{"one serves", rollout.Rule{Serving: "v1"}, []string{"1"}, nil, []string{"1"}},
		{"one is a canary", rollout.Rule{Serving: "v1", Canary: "v2"}, []string{"1"}, []string{"2", "3"}, []string{"1", "2", "3", "4"}},
		{"only a canary is known", rollout.Rule{Canary: "v2"}, []string{"1"}, []string{"2", "3"}, []string{"1", "2", "3", "4"}},
		{"neither has leafs", rollout.Rule{Serving: "v8", Canary: "v9"}, nil, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			editor := Empty().Edit()
			for _, leaf := range append(older, newer...) {
				editor.Put(leaf)
			}
			editor.SetRule("s", c.rule)
			set := editor.Done()
			is.Equal(ids(set.Ready("s")), c.ready)
			is.Equal(ids(set.Canaries("s")), c.canaries)
			var allowed []string
			for _, leaf := range set.ByService("s") {
				if set.IsAllowed(leaf) {
					allowed = append(allowed, leaf.ID)
				}
			}
			is.Equal(allowed, c.allowed)
		})
	}
}

// An evacuation applies to canaries as to leafs that serve.
func TestEvacuatedLeafsAreNoCanaries(t *testing.T) {
	is := is.New(t)
	_, newer := oldAndNew()
	set := withRule(edited(Empty().Edit(), newer), rollout.Rule{Serving: "v1", Canary: "v2"})
	editor := set.Edit()
	editor.SetEvacuated("", true)
	during := editor.Done()
	is.Equal(len(during.Canaries("s")), 0)
	is.True(!during.IsAllowed(newer[0]))
	is.Equal(len(set.Canaries("s")), 2) // the set before it is unchanged
}

// Without a rule the version that was there first goes on serving, however many leafs of others appear,
// whatever is ordered and withdrawn, and when the whole state is read again.
func TestVersionThatWasThereFirstServes(t *testing.T) {
	older, newer := oldAndNew()
	first := edited(Empty().Edit(), older)
	both := edited(first.Edit(), newer)
	ordered := withRule(both, rollout.Rule{Canary: "v2", Phase: rollout.Canary, SpecID: 7})
	cases := map[string]*Set{
		"the other came":                  both,
		"a third came":                    edited(both.Edit(), []*Leaf{leafOf("5", "v3", Ready), leafOf("6", "v3", Ready)}),
		"a whole state":                   edited(Replace(both), append(older, newer...)),
		"the other was ordered":           ordered,
		"ordered after nothing else came": edited(withRule(first, rollout.Rule{Canary: "v2"}).Edit(), newer),
		"the order was taken back":        withRule(ordered, rollout.Rule{}),
		"a whole state without the order": edited(Replace(ordered), append(older, newer...)),
		"another order":                   withRule(both, rollout.Rule{Canary: "v3", SpecID: 7}),
		"an order of what serves":         withRule(both, rollout.Rule{Canary: "v1", SpecID: 7}),
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ids(set.Ready("s")), []string{"1"})
			is.Equal(set.Rule("s").Serving, "v1")
		})
	}
	is := is.New(t)
	is.Equal(ids(ordered.Canaries("s")), []string{"2", "3"})
	is.Equal(cases["an order of what serves"].Rule("s"), rollout.Rule{Serving: "v1"})
	gone := edited(both.Edit(), nil, "1")
	is.Equal(len(gone.Ready("s")), 0) // no spec makes the other version serve
	again := edited(gone.Edit(), older)
	is.Equal(ids(again.Ready("s")), []string{"1"})
}

func TestWrittenVersionOutweighsTheFirst(t *testing.T) {
	is := is.New(t)
	older, newer := oldAndNew()
	both := edited(edited(Empty().Edit(), older).Edit(), newer)
	written := withRule(both, rollout.Rule{Serving: "v2"})
	is.Equal(ids(written.Ready("s")), []string{"2", "3"})
	is.Equal(len(written.first), 0)
}

// Of versions that appear at once the one with the most leafs serves, and so do leafs of unknown version.
func TestMostServeWhereAllComeAtOnce(t *testing.T) {
	is := is.New(t)
	older, newer := oldAndNew()
	set := edited(Empty().Edit(), append(append(older, newer...), leafOf("5", "", Ready)))
	is.Equal(ids(set.Ready("s")), []string{"2", "3", "5"})
	is.Equal(set.Rule("s").Serving, "v2")
}

// A version that was rolled back never becomes the first version, even if the other leafs are of unknown
// version, or are gone.
func TestVersionRolledBackIsNotTheFirst(t *testing.T) {
	is := is.New(t)
	_, newer := oldAndNew()
	unknown := leafOf("1", "", Ready)
	set := withRule(edited(Empty().Edit(), []*Leaf{unknown}), rollout.Rule{Canary: "v2"})
	set = withRule(edited(set.Edit(), newer), rollout.Rule{Disallowed: "v2"})
	is.Equal(ids(set.Ready("s")), []string{"1"})
	is.True(set.IsVersionDisallowed(newer[0]))
	set = edited(set.Edit(), nil, "1")
	is.Equal(len(set.Ready("s")), 0)
	set = edited(set.Edit(), []*Leaf{leafOf("5", "v1", Ready), leafOf("6", "v1", Ready), leafOf("7", "v3", Ready)})
	is.Equal(ids(set.Ready("s")), []string{"5", "6"})
}

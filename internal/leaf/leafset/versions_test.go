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

// edit adds and removes leafs in a set whose services default to the first version, and returns the result.
func edit(editor *Editor, leafs []*Leaf, removed ...string) *Set {
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

func oldAndNewLeafs() (older, newer []*Leaf) {
	older = []*Leaf{leafOf("1", "v1", Ready)}
	newer = []*Leaf{leafOf("2", "v2", Ready), leafOf("3", "v2", Ready), leafOf("4", "v2", Draining)}
	return older, newer
}

func TestRuleSelectsReadyAndCanaryLeafs(t *testing.T) {
	older, newer := oldAndNewLeafs()
	cases := []struct {
		name               string
		rule               rollout.Rule
		ready, canaryLeafs []string
		allowed            []string
	}{
		{"none", rollout.Rule{}, []string{"1", "2", "3"}, nil, []string{"1", "2", "3", "4"}},
		{"serving version", rollout.Rule{Serving: "v1"}, []string{"1"}, nil, []string{"1"}},
		{"serving and canary version", rollout.Rule{Serving: "v1", Canary: "v2"}, []string{"1"}, []string{"2", "3"}, []string{"1", "2", "3", "4"}},
		{"canary version only", rollout.Rule{Canary: "v2"}, []string{"1"}, []string{"2", "3"}, []string{"1", "2", "3", "4"}},
		{"versions without leafs", rollout.Rule{Serving: "v8", Canary: "v9"}, nil, nil, nil},
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
			is.Equal(ids(set.CanaryLeafs("s")), c.canaryLeafs)
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

// An evacuation applies to canary leafs as well as to serving leafs.
func TestEvacuatedLeafsAreNoCanaryLeafs(t *testing.T) {
	is := is.New(t)
	_, newer := oldAndNewLeafs()
	set := withRule(edit(Empty().Edit(), newer), rollout.Rule{Serving: "v1", Canary: "v2"})
	editor := set.Edit()
	editor.SetEvacuated("", true)
	during := editor.Done()
	is.Equal(len(during.CanaryLeafs("s")), 0)
	is.True(!during.IsAllowed(newer[0]))
	is.Equal(len(set.CanaryLeafs("s")), 2) // the original set is unchanged
}

// While no rule names a serving version, the first version keeps serving: when leafs of other versions register, when a
// canary is set or removed, and when the whole set is replaced.
func TestFirstVersionServesWithoutRule(t *testing.T) {
	older, newer := oldAndNewLeafs()
	first := edit(Empty().Edit(), older)
	both := edit(first.Edit(), newer)
	withCanary := withRule(both, rollout.Rule{Canary: "v2", Phase: rollout.PhaseCanary, SpecID: 7})
	cases := map[string]*Set{
		"second version registered":      both,
		"third version registered":       edit(both.Edit(), []*Leaf{leafOf("5", "v3", Ready), leafOf("6", "v3", Ready)}),
		"replaced set":                   edit(Replace(both), append(older, newer...)),
		"canary set":                     withCanary,
		"canary set before registration": edit(withRule(first, rollout.Rule{Canary: "v2"}).Edit(), newer),
		"rule removed":                   withRule(withCanary, rollout.Rule{}),
		"replaced set without rule":      edit(Replace(withCanary), append(older, newer...)),
		"canary without leafs":           withRule(both, rollout.Rule{Canary: "v3", SpecID: 7}),
		"canary is the first version":    withRule(both, rollout.Rule{Canary: "v1", SpecID: 7}),
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ids(set.Ready("s")), []string{"1"})
			is.Equal(set.Rule("s").Serving, "v1")
		})
	}
	is := is.New(t)
	is.Equal(ids(withCanary.CanaryLeafs("s")), []string{"2", "3"})
	is.Equal(cases["canary is the first version"].Rule("s"), rollout.Rule{Serving: "v1"})
	gone := edit(both.Edit(), nil, "1")
	is.Equal(len(gone.Ready("s")), 0) // the other version does not serve without a rule
	again := edit(gone.Edit(), older)
	is.Equal(ids(again.Ready("s")), []string{"1"})
}

func TestServingVersionOfRuleOverridesFirst(t *testing.T) {
	is := is.New(t)
	older, newer := oldAndNewLeafs()
	both := edit(edit(Empty().Edit(), older).Edit(), newer)
	written := withRule(both, rollout.Rule{Serving: "v2"})
	is.Equal(ids(written.Ready("s")), []string{"2", "3"})
	is.Equal(len(written.first), 0)
}

// Of versions whose leafs register at once, the one with the most leafs serves. Leafs with an unknown version also
// serve.
func TestMostFrequentVersionBecomesFirst(t *testing.T) {
	is := is.New(t)
	older, newer := oldAndNewLeafs()
	set := edit(Empty().Edit(), append(append(older, newer...), leafOf("5", "", Ready)))
	is.Equal(ids(set.Ready("s")), []string{"2", "3", "5"})
	is.Equal(set.Rule("s").Serving, "v2")
}

// A disallowed version never becomes the first version, even if the other leafs have an unknown version or are removed.
func TestDisallowedVersionIsNeverFirst(t *testing.T) {
	is := is.New(t)
	_, newer := oldAndNewLeafs()
	unknown := leafOf("1", "", Ready)
	set := withRule(edit(Empty().Edit(), []*Leaf{unknown}), rollout.Rule{Canary: "v2"})
	set = withRule(edit(set.Edit(), newer), rollout.Rule{Disallowed: "v2"})
	is.Equal(ids(set.Ready("s")), []string{"1"})
	is.True(set.IsVersionDisallowed(newer[0]))
	set = edit(set.Edit(), nil, "1")
	is.Equal(len(set.Ready("s")), 0)
	set = edit(set.Edit(), []*Leaf{leafOf("5", "v1", Ready), leafOf("6", "v1", Ready), leafOf("7", "v3", Ready)})
	is.Equal(ids(set.Ready("s")), []string{"5", "6"})
}

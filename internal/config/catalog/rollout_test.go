package catalog

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
)

func newRolloutCatalog(rejected func(string, error)) *Catalog {
	catalog := New(rejected)
	catalog.EnableRollouts()
	return catalog
}

// documentChange returns a write of a JSON document. A nil document removes the key.
func documentChange(t interface{ Fatal(...any) }, revision int64, key string, document any) Change {
	entry := Entry{Key: key, Revision: revision, Deleted: document == nil}
	content, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	if entry.Value, err = NewDocument("", content, nil); err != nil {
		t.Fatal(err)
	}
	return Change{Entry: entry, Previous: revision - 1}
}

func versionLeaf(id, service, version string) leafset.Record {
	return leafset.Record{Name: id, Service: service, Address: "127.0.0.1:1", Version: version, State: leafset.Ready}
}

var (
	someServices = []string{"a", "b"}
	someVersions = []string{"v1", "v2", "v3"}
)

// drawRolloutChange draws a write or removal of a spec, a state or the versions.
func drawRolloutChange(t *rapid.T, revision int64) Change {
	service := rapid.SampledFrom(someServices).Draw(t, "service")
	target := rapid.SampledFrom(someVersions).Draw(t, "target")
	serving := rapid.SampledFrom(someVersions).Draw(t, "serving")
	ends := rapid.IntRange(0, 3).Draw(t, "ends") == 0
	key, document := "", any(nil)
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		key, document = RolloutKey(service), rollout.Spec{Service: service, Target: target, DurationMillis: 1}
	case 1:
		phase := rapid.SampledFrom([]rollout.Phase{rollout.PhaseCanary, rollout.PhaseSwitching, rollout.PhaseSucceeded, rollout.PhaseRolledBack}).Draw(t, "phase")
		answered := rapid.Int64Range(1, revision).Draw(t, "answered")
		key = RolloutStateKey(service)
		document = rollout.State{Service: service, SpecRevision: answered, Phase: phase, Serving: serving, Target: target}
	default:
		key, document = VersionsKey, rollout.Versions{ByVersion: map[string][]string{serving: someServices}}
	}
	if ends {
		document = nil
	}
	return documentChange(t, revision, key, document)
}

// In any order of changes and whole states, from the store or another node, the rule of a service matches the store's
// state at the node's revision: an older state never restores a version.
func TestRulesMatchStoreInAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 14).Draw(t, "changes")
		var log []Change
		for revision := range int64(count) {
			log = append(log, drawRolloutChange(t, revision+1))
		}
		node, other := newRolloutCatalog(nil), newRolloutCatalog(nil)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			from := rapid.IntRange(0, count-1).Draw(t, "from")
			to := rapid.IntRange(from+1, count).Draw(t, "to")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				node.Replace(withoutTombstones(stateAt(log, int64(to))))
			case 1:
				node.ApplyAll(log[from:to])
			case 2:
				if changes, kept := node.Since(other.Revision()); kept {
					other.ApplyAll(changes)
				}
			}
			checkRules(t, node, log)
			checkRules(t, other, log)
		}
	})
}

// checkRules compares a node's rules with the rules computed from the store's state at the node's revision.
func checkRules(t *rapid.T, node *Catalog, log []Change) {
	state := withoutTombstones(stateAt(log, node.Revision()))
	for _, service := range someServices {
		var spec *rollout.Spec
		var known *rollout.State
		written := ""
		for _, entry := range state.Entries {
			document, err := DecodeDocument(entry)
			if err != nil {
				t.Fatal(err)
			}
			switch entry.Key {
			case RolloutKey(service):
				spec, err = rollout.ParseSpec(document, entry.Revision)
			case RolloutStateKey(service):
				known, err = rollout.ParseState(document, entry.Revision)
			case VersionsKey:
				var versions map[string]string
				versions, err = rollout.ParseVersions(document)
				written = versions[service]
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		wanted := rollout.RuleOf(spec, known, written)
		if rule := node.View().Leafs.Rule(service); rule != wanted {
			t.Fatalf("service %s at revision %d: rule is %+v, want %+v", service, node.Revision(), rule, wanted)
		}
	}
}

// catalogWithSpec returns a catalog with one leaf of each of two versions of a service, and a rollout spec for the second
// version.
func catalogWithSpec(t *testing.T) *Catalog {
	t.Helper()
	catalog := newRolloutCatalog(func(key string, err error) { t.Errorf("%s: %v", key, err) })
	catalog.ApplyAll([]Change{
		documentChange(t, 1, VersionsKey, rollout.Versions{ByVersion: map[string][]string{"v1": {"s"}}}),
		documentChange(t, 2, LeafKey("old"), versionLeaf("old", "s", "v1")),
		documentChange(t, 3, LeafKey("new"), versionLeaf("new", "s", "v2")),
		documentChange(t, 4, RolloutKey("s"), rollout.Spec{Service: "s", Target: "v2", DurationMillis: 1000}),
	})
	return catalog
}

func TestWithdrawnSpecKeepsServingVersion(t *testing.T) {
	is := is.New(t)
	catalog := catalogWithSpec(t)
	is.Equal(len(catalog.View().Leafs.CanaryLeafs("s")), 1)
	is.Equal(catalog.View().Rollouts["s"].Spec.Revision, int64(4))
	catalog.Apply(documentChange(t, 5, RolloutStateKey("s"), rollout.State{Service: "s", SpecRevision: 4, Phase: rollout.PhaseSwitching, Serving: "v1", Target: "v2"}))
	is.Equal(catalog.View().Leafs.Rule("s").Phase, rollout.PhaseSwitching)
	catalog.Apply(documentChange(t, 6, RolloutKey("s"), nil))
	leafs := catalog.View().Leafs
	is.Equal(leafs.Rule("s"), rollout.Rule{Serving: "v1", Revision: 5})
	is.Equal(len(leafs.CanaryLeafs("s")), 0)
	is.Equal(leafs.Ready("s")[0].ID, "old")
	is.Equal(len(leafs.Ready("s")), 1)
}

// The difference between two whole states includes the removal of specs, states and versions.
func TestDifferenceIncludesRemovedRolloutKeys(t *testing.T) {
	is := is.New(t)
	first, second := catalogWithSpec(t), catalogWithSpec(t)
	state := documentChange(t, 5, RolloutStateKey("s"), rollout.State{Service: "s", SpecRevision: 4, Phase: rollout.PhaseSucceeded, Serving: "v1", Target: "v2"})
	first.Apply(state)
	second.Apply(state)
	is.Equal(second.View().Leafs.Rule("s").Serving, "v2")
	first.Replace(Snapshot{Revision: 9})
	changes, kept := first.Since(5)
	is.True(kept)
	is.True(second.ApplyAll(changes))
	is.Equal(len(second.View().Rollouts), 0)
	is.Equal(len(second.View().Versions), 0)
	is.Equal(second.View().Leafs.Rule("s"), rollout.Rule{})
}

// A spec that can't be decoded doesn't replace the one in force.
func TestUndecodableSpecKeepsCurrentSpec(t *testing.T) {
	is := is.New(t)
	catalog := catalogWithSpec(t)
	rejections := 0
	catalog.rejected = func(string, error) { rejections++ }
	catalog.Apply(documentChange(t, 5, RolloutKey("s"), rollout.Spec{Service: "s", Target: "v3"}))
	is.Equal(rejections, 1)
	is.Equal(catalog.View().Rollouts["s"].Spec.Target, "v2")
	is.Equal(catalog.View().Leafs.Rule("s").SpecID, int64(4))
}

func TestFirstVersionServesUntilVersionsAreWritten(t *testing.T) {
	is := is.New(t)
	catalog := newRolloutCatalog(nil)
	catalog.Apply(documentChange(t, 1, LeafKey("old"), versionLeaf("old", "s", "v1")))
	for revision := range int64(3) {
		id := fmt.Sprintf("new-%d", revision)
		catalog.Apply(documentChange(t, 2+revision, LeafKey(id), versionLeaf(id, "s", "v2")))
	}
	is.Equal(len(catalog.View().Leafs.Ready("s")), 1)
	catalog.Replace(Snapshot{Revision: 5, Entries: withoutTombstones(catalog.Snapshot()).Entries})
	is.Equal(catalog.View().Leafs.Ready("s")[0].ID, "old")
	catalog.Apply(documentChange(t, 6, VersionsKey, rollout.Versions{ByVersion: map[string][]string{"v2": {"s"}}}))
	is.Equal(len(catalog.View().Leafs.Ready("s")), 3)
}

// Without EnableRollouts, specs, states and versions of leafs have no effect.
func TestRolloutsAreIgnoredUnlessEnabled(t *testing.T) {
	is := is.New(t)
	catalog := New(func(key string, err error) { t.Errorf("%s: %v", key, err) })
	catalog.ApplyAll([]Change{
		documentChange(t, 1, LeafKey("old"), versionLeaf("old", "s", "v1")),
		documentChange(t, 2, LeafKey("new"), versionLeaf("new", "s", "v2")),
		documentChange(t, 3, RolloutKey("s"), "no order"),
	})
	is.Equal(len(catalog.View().Leafs.Ready("s")), 2)
	is.Equal(catalog.View().Leafs.Rule("s"), rollout.Rule{})
}

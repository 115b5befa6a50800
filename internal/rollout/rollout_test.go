package rollout

import (
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
)

const specRevision = 7

func spec(target string) *Spec {
	return &Spec{Service: "s", Target: target, DurationMillis: 1000, Revision: specRevision}
}

func state(phase Phase, answered int64) *State {
	return &State{Service: "s", SpecRevision: answered, Phase: phase, Serving: "v1", Target: "v2", Revision: 9}
}

// unnamed returns a state in which the version that served has no name.
func unnamed(phase Phase, answered int64) *State {
	made := state(phase, answered)
	made.Serving = ""
	return made
}

func TestRuleFollowsFromSpecAndState(t *testing.T) {
	canary := Rule{Serving: "v1", Canary: "v2", Phase: Canary, SpecID: specRevision}
	withState := func(rule Rule, phase Phase) Rule {
		rule.Revision, rule.Phase = 9, phase
		return rule
	}
	cases := []struct {
		name    string
		spec    *Spec
		state   *State
		written string
		want    Rule
	}{
		{"nothing is known", nil, nil, "", Rule{}},
		{"a version is written down", nil, nil, "v1", Rule{Serving: "v1"}},
		{"an order without a state yet", spec("v2"), nil, "v1", canary},
		{"its state", spec("v2"), state(Canary, specRevision), "v1", withState(canary, Canary)},
		{"found good", spec("v2"), state(Switching, specRevision), "v1", withState(canary, Switching)},
		{"succeeded", spec("v2"), state(Succeeded, specRevision), "v1", Rule{Serving: "v2", Revision: 9}},
		{"rolled back", spec("v2"), state(RolledBack, specRevision), "v1", Rule{Serving: "v1", Revision: 9}},
		{"the same order again after a roll-back", spec("v2"), state(RolledBack, 5), "v1", withState(canary, Canary)},
		{"another order replaced one found good", spec("v3"), state(Switching, 5), "v1", Rule{Serving: "v1", Canary: "v3", Phase: Canary, SpecID: specRevision, Revision: 9}},
		{"another order after a success", spec("v3"), state(Succeeded, 5), "v1", Rule{Serving: "v2", Canary: "v3", Phase: Canary, SpecID: specRevision, Revision: 9}},
		{"the order was taken back", nil, state(Switching, specRevision), "v1", Rule{Serving: "v1", Revision: 9}},
		{"taken back after a success", nil, state(Succeeded, specRevision), "v1", Rule{Serving: "v2", Revision: 9}},
		{"rolled back where leafs had no version", spec("v2"), unnamed(RolledBack, specRevision), "", Rule{Disallowed: "v2", Revision: 9}},
		{"taken back where leafs had no version", nil, unnamed(Switching, specRevision), "", Rule{Disallowed: "v2", Revision: 9}},
		{"on trial again where leafs had no version", spec("v2"), unnamed(RolledBack, 5), "", Rule{Canary: "v2", Phase: Canary, SpecID: specRevision, Revision: 9}},
		{"another on trial where leafs had no version", spec("v3"), unnamed(RolledBack, 5), "", Rule{Disallowed: "v2", Canary: "v3", Phase: Canary, SpecID: specRevision, Revision: 9}},
		{"succeeded where leafs had no version", spec("v2"), unnamed(Succeeded, specRevision), "", Rule{Serving: "v2", ExcludesUnversioned: true, Revision: 9}},
		{"another on trial after that", spec("v3"), unnamed(Succeeded, 5), "", Rule{Serving: "v2", ExcludesUnversioned: true, Canary: "v3", Phase: Canary, SpecID: specRevision, Revision: 9}},
		{"the target serves already", spec("v1"), nil, "v1", Rule{Serving: "v1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(RuleOf(c.spec, c.state, c.written), c.want)
		})
	}
}

func TestRuleTellsVersionsApart(t *testing.T) {
	is := is.New(t)
	rule := Rule{Serving: "v1", Canary: "v2"}
	is.True(rule.IsServing("v1") && rule.IsServing(""))
	is.True(!rule.IsServing("v2") && !rule.IsServing("v3"))
	is.True(rule.IsCanary("v2") && !rule.IsCanary("") && !rule.IsCanary("v1"))
	unknown := Rule{Canary: "v2"}
	is.True(unknown.IsServing("v1") && !unknown.IsServing("v2"))
	rolledBack := Rule{Disallowed: "v2"}
	is.True(rolledBack.IsServing("v1") && rolledBack.IsServing("") && !rolledBack.IsServing("v2") && !rolledBack.IsCanary("v2"))
	is.Equal(rolledBack.WithDefaultServing("v2"), rolledBack)
	is.Equal(rolledBack.WithDefaultServing("v1"), Rule{Serving: "v1"})
	named := Rule{Serving: "v2", ExcludesUnversioned: true}
	is.True(named.IsServing("v2") && !named.IsServing("") && !named.IsServing("v1"))
	is.True(Rule{}.IsServing("v9") && !Rule{}.IsCanary(""))
}

func TestFaultsNameTheField(t *testing.T) {
	is := is.New(t)
	_, err := ParseSpec([]byte(`{"service":"s","duration_millis":1}`), 1)
	is.Equal(failure.From(err).Field, "target")
	_, err = ParseSpec([]byte(`{"service":"s","target":"v2","duration_millis":-1}`), 1)
	is.Equal(failure.From(err).Field, "duration_millis")
	_, err = ParseSpec([]byte(`{"service":"s","target":"v2","duration_millis":9223372036855}`), 1)
	is.Equal(failure.From(err).Field, "duration_millis")
	_, err = ParseState([]byte(`{"service":"s","phase":"done"}`), 1)
	is.Equal(failure.From(err).Field, "phase")
	versions, err := ParseVersions([]byte(`{"by_version":{"v1":["a","b"],"v2":["c"]}}`))
	is.NoErr(err)
	is.Equal(versions, map[string]string{"a": "v1", "b": "v1", "c": "v2"})
}

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

func state(phase Phase, specID int64) *State {
	return &State{Service: "s", SpecRevision: specID, Phase: phase, Serving: "v1", Target: "v2", Revision: 9}
}

// unversioned returns a state in which leafs without a version served.
func unversioned(phase Phase, specID int64) *State {
	result := state(phase, specID)
	result.Serving = ""
	return result
}

func TestRuleOfSpecAndState(t *testing.T) {
	canary := Rule{Serving: "v1", Canary: "v2", Phase: PhaseCanary, SpecID: specRevision}
	withState := func(rule Rule, phase Phase) Rule {
		rule.Revision, rule.Phase = 9, phase
		return rule
	}
	cases := []struct {
		name   string
		spec   *Spec
		state  *State
		stored string
		want   Rule
	}{
		{"neither spec nor state", nil, nil, "", Rule{}},
		{"stored version only", nil, nil, "v1", Rule{Serving: "v1"}},
		{"spec without a state", spec("v2"), nil, "v1", canary},
		{"phase canary", spec("v2"), state(PhaseCanary, specRevision), "v1", withState(canary, PhaseCanary)},
		{"phase switching", spec("v2"), state(PhaseSwitching, specRevision), "v1", withState(canary, PhaseSwitching)},
		{"succeeded", spec("v2"), state(PhaseSucceeded, specRevision), "v1", Rule{Serving: "v2", Revision: 9}},
		{"rolled back", spec("v2"), state(PhaseRolledBack, specRevision), "v1", Rule{Serving: "v1", Revision: 9}},
		{"same spec again after rollback", spec("v2"), state(PhaseRolledBack, 5), "v1", withState(canary, PhaseCanary)},
		{"another spec during phase switching", spec("v3"), state(PhaseSwitching, 5), "v1", Rule{Serving: "v1", Canary: "v3", Phase: PhaseCanary, SpecID: specRevision, Revision: 9}},
		{"another spec after success", spec("v3"), state(PhaseSucceeded, 5), "v1", Rule{Serving: "v2", Canary: "v3", Phase: PhaseCanary, SpecID: specRevision, Revision: 9}},
		{"spec withdrawn", nil, state(PhaseSwitching, specRevision), "v1", Rule{Serving: "v1", Revision: 9}},
		{"spec withdrawn after success", nil, state(PhaseSucceeded, specRevision), "v1", Rule{Serving: "v2", Revision: 9}},
		{"rolled back, serving leafs unversioned", spec("v2"), unversioned(PhaseRolledBack, specRevision), "", Rule{Disallowed: "v2", Revision: 9}},
		{"spec withdrawn, serving leafs unversioned", nil, unversioned(PhaseSwitching, specRevision), "", Rule{Disallowed: "v2", Revision: 9}},
		{"same spec again, serving leafs unversioned", spec("v2"), unversioned(PhaseRolledBack, 5), "", Rule{Canary: "v2", Phase: PhaseCanary, SpecID: specRevision, Revision: 9}},
		{"another spec, serving leafs unversioned", spec("v3"), unversioned(PhaseRolledBack, 5), "", Rule{Disallowed: "v2", Canary: "v3", Phase: PhaseCanary, SpecID: specRevision, Revision: 9}},
		{"succeeded, serving leafs unversioned", spec("v2"), unversioned(PhaseSucceeded, specRevision), "", Rule{Serving: "v2", ExcludesUnversioned: true, Revision: 9}},
		{"another spec after success over unversioned leafs", spec("v3"), unversioned(PhaseSucceeded, 5), "", Rule{Serving: "v2", ExcludesUnversioned: true, Canary: "v3", Phase: PhaseCanary, SpecID: specRevision, Revision: 9}},
		{"target already serves", spec("v1"), nil, "v1", Rule{Serving: "v1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(RuleOf(c.spec, c.state, c.stored), c.want)
		})
	}
}

func TestRuleClassifiesVersions(t *testing.T) {
	is := is.New(t)
	rule := Rule{Serving: "v1", Canary: "v2"}
	is.True(rule.IsServing("v1") && rule.IsServing(""))
	is.True(!rule.IsServing("v2") && !rule.IsServing("v3"))
	is.True(rule.IsCanary("v2") && !rule.IsCanary("") && !rule.IsCanary("v1"))
	withoutServing := Rule{Canary: "v2"}
	is.True(withoutServing.IsServing("v1") && !withoutServing.IsServing("v2"))
	rolledBack := Rule{Disallowed: "v2"}
	is.True(rolledBack.IsServing("v1") && rolledBack.IsServing("") && !rolledBack.IsServing("v2") && !rolledBack.IsCanary("v2"))
	is.Equal(rolledBack.WithDefaultServing("v2"), rolledBack)
	is.Equal(rolledBack.WithDefaultServing("v1"), Rule{Serving: "v1"})
	excluding := Rule{Serving: "v2", ExcludesUnversioned: true}
	is.True(excluding.IsServing("v2") && !excluding.IsServing("") && !excluding.IsServing("v1"))
	is.True(Rule{}.IsServing("v9") && !Rule{}.IsCanary(""))
}

func TestInvalidInputNamesTheField(t *testing.T) {
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

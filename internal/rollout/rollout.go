// Package rollout defines how the requests of a service move from the leafs of one version to the leafs of another: the
// spec that operators write, the state of the rollout in the fleet, and the rule that each node derives from both.
//
// The package keeps no state and does no I/O. Specs and states are stored under keys of the store, each with the
// revision that wrote it. A node derives its rule from the configuration revision that it has in force.
package rollout

import (
	"math"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/failure"
)

// Spec requests a rollout: the requests of a service move to the leafs of the target version.
type Spec struct {
	Service string `json:"service"`
	// Target is the version to move to.
	Target string `json:"target"`
	// DurationMillis is the maximum duration of the rollout, counted from the acceptance of the spec.
	DurationMillis int64 `json:"duration_millis"`
	// Revision is the store revision that wrote the spec.
	Revision int64 `json:"-"`
	// id is the ID of the earlier spec that this one repeats, 0 if there is none.
	id int64
}

// ID identifies the spec among the specs of its service. It is the store's count at the first write of the spec, and
// stays the same when operators write the same spec again after a restore of the store.
func (s *Spec) ID() int64 {
	if s.id != 0 {
		return s.id
	}
	return revision.Count(s.Revision)
}

func (s *Spec) Duration() time.Duration { return time.Duration(s.DurationMillis) * time.Millisecond }

// maxDurationMillis is the longest duration that time.Duration can hold, in milliseconds.
const maxDurationMillis = math.MaxInt64 / int64(time.Millisecond)

// Validate returns an error that names every invalid field.
func (s *Spec) Validate() error {
	var checks failure.Checks
	checks.Refuse(s.Service == "", "service", "must not be empty")
	checks.Refuse(s.Target == "", "target", "must not be empty")
	checks.Refuse(s.DurationMillis <= 0, "duration_millis", "must be positive")
	checks.Refuse(s.DurationMillis > maxDurationMillis, "duration_millis", "must be at most %d", maxDurationMillis)
	return checks.Err()
}

// ParseSpec decodes and validates a JSON spec. at is the store revision that wrote it.
func ParseSpec(content []byte, at int64) (*Spec, error) {
	spec := &Spec{Revision: at}
	if err := json.Unmarshal(content, spec); err != nil {
		return nil, failure.Invalid("rollout", "invalid rollout spec: %v", err)
	}
	return spec, spec.Validate()
}

// InheritID gives the spec the ID of the spec in force before it, if operators wrote the same spec again after a
// restore of the store.
func (s *Spec) InheritID(before *Spec) {
	if before == nil || !revision.IsLater(s.Revision, before.Revision) {
		return
	}
	if s.Target == before.Target && s.DurationMillis == before.DurationMillis {
		s.id = before.ID()
	}
}

// Phase is how far a rollout has progressed.
type Phase string

// The phases. PhaseSucceeded and PhaseRolledBack are final: they last until another spec is written.
const (
	// PhaseCanary sends a bounded share of the requests to the target while it is evaluated.
	PhaseCanary Phase = "canary"
	// PhaseSwitching moves all requests to the target, which passed evaluation.
	PhaseSwitching Phase = "switching"
	// PhaseSucceeded means that the target serves, and that the previous version receives no requests.
	PhaseSucceeded Phase = "succeeded"
	// PhaseRolledBack means that the target receives no requests.
	PhaseRolledBack Phase = "rolled_back"
)

// IsFinal reports whether no other phase of the rollout follows.
func (p Phase) IsFinal() bool { return p == PhaseSucceeded || p == PhaseRolledBack }

// State is the progress of a rollout in the fleet. It is replaced only by compare-and-swap, on condition that the
// spec is unchanged.
type State struct {
	Service string `json:"service"`
	// SpecRevision is the store's count when the spec was written.
	SpecRevision int64 `json:"order_revision"`
	Phase        Phase `json:"phase"`
	// Serving is the version that served before the spec. It continues to serve unless the rollout succeeds.
	Serving string `json:"serving"`
	Target  string `json:"target"`
	// StartedUnixMillis is the wall-clock time at which the writer of the spec's first state learned of the spec.
	StartedUnixMillis int64 `json:"started_unix_millis"`
	// Reason explains the phase in one sentence, with figures.
	Reason string `json:"reason,omitempty"`
	// DecidedBy is the ID of the node that wrote the state.
	DecidedBy string `json:"decided_by,omitempty"`
	// Revision is the store revision that wrote the state.
	Revision int64 `json:"-"`
}

// ParseState decodes and validates a JSON state. at is the store revision that wrote it.
func ParseState(content []byte, at int64) (*State, error) {
	state := &State{Revision: at}
	if err := json.Unmarshal(content, state); err != nil {
		return nil, failure.Invalid("rollout_state", "invalid rollout state: %v", err)
	}
	var checks failure.Checks
	checks.Refuse(state.Service == "", "service", "must not be empty")
	checks.Refuse(state.Phase != PhaseCanary && state.Phase != PhaseSwitching && !state.Phase.IsFinal(), "phase", "%q is invalid; must be canary, switching, succeeded or rolled_back", state.Phase)
	return state, checks.Err()
}

// BelongsTo reports whether the state belongs to a spec. A state from before a restore of the store belongs to the
// spec for the same version that operators wrote again after the restore.
func (s *State) BelongsTo(spec *Spec) bool {
	if spec == nil || s.Target != spec.Target {
		return false
	}
	count := revision.Count(s.SpecRevision)
	return count == spec.ID() || count == revision.Count(spec.Revision) || revision.IsLater(spec.Revision, s.Revision)
}

// ServingVersion returns the version that serves according to the state.
func (s *State) ServingVersion() string {
	if s.Phase == PhaseSucceeded {
		return s.Target
	}
	return s.Serving
}

// Versions are the serving versions of the services that had no rollout, as the fleet stored them when their leafs
// first registered. Another version receives no requests without a spec.
type Versions struct {
	// ByVersion lists the services that each version serves; each service occurs once.
	ByVersion map[string][]string `json:"by_version"`
}

// ParseVersions decodes JSON versions and returns the version by service.
func ParseVersions(content []byte) (map[string]string, error) {
	var versions Versions
	if err := json.Unmarshal(content, &versions); err != nil {
		return nil, failure.Invalid("service_versions", "invalid service versions: %v", err)
	}
	byService := map[string]string{}
	for version, services := range versions.ByVersion {
		for _, service := range services {
			byService[service] = version
		}
	}
	return byService, nil
}

// Rule decides which versions of a service may receive requests. The zero Rule allows all.
type Rule struct {
	// Serving is the version that serves. If it is empty, all versions but Canary and Disallowed serve.
	Serving string
	// Disallowed is the version that was rolled back or withdrawn while Serving is empty. If Serving is set, all
	// versions but Serving and Canary are disallowed.
	Disallowed string
	// ExcludesUnversioned means that leafs without a version served before Serving, and receive no requests now.
	ExcludesUnversioned bool
	// Canary is the version being rolled out, the target of the active spec; empty if there is none.
	Canary string
	// Phase is PhaseCanary or PhaseSwitching while there is a canary version, else empty.
	Phase Phase
	// SpecID is the ID of the active spec, 0 if there is none.
	SpecID int64
	// Revision is the revision of the state that the rule is derived from, 0 if there is none yet.
	Revision int64
}

// RuleOf derives the rule of a service. spec and state are nil if there are none, and storedVersion may be empty. A
// final state decides which version serves. A spec without a final state of its own makes its target the canary, in
// PhaseCanary until a state sets another. If only leafs without a version served, the rule disallows a target that was
// rolled back, or excludes those leafs after a version has replaced them. All rules are derived here.
func RuleOf(spec *Spec, state *State, storedVersion string) Rule {
	rule := Rule{Serving: storedVersion}
	if state != nil {
		rule.Serving, rule.Revision = state.ServingVersion(), state.Revision
	}
	if state != nil && state.Serving == "" {
		rule.ExcludesUnversioned = rule.Serving != ""
		if !rule.ExcludesUnversioned {
			rule.Disallowed = state.Target
		}
	}
	if spec == nil || spec.Target == rule.Serving {
		return rule
	}
	isStateOfSpec := state != nil && state.BelongsTo(spec)
	if isStateOfSpec && state.Phase.IsFinal() {
		return rule
	}
	rule.Canary, rule.SpecID, rule.Phase = spec.Target, spec.ID(), PhaseCanary
	if isStateOfSpec {
		rule.Phase = state.Phase
	}
	if rule.Disallowed == rule.Canary {
		rule.Disallowed = ""
	}
	return rule
}

// WithDefaultServing returns the rule with a default serving version, which applies unless the rule has a serving
// version or disallows the default. A spec whose target is the default has no effect.
func (r Rule) WithDefaultServing(version string) Rule {
	if r.Serving != "" || version == "" || r.Disallowed == version {
		return r
	}
	if r.Canary == version {
		return Rule{Serving: version, Revision: r.Revision}
	}
	r.Serving, r.Disallowed = version, ""
	return r
}

// IsServing reports whether a version serves under the rule. Leafs without a version serve unless the rule excludes
// them.
func (r Rule) IsServing(version string) bool {
	if version == "" {
		return !r.ExcludesUnversioned
	}
	return version == r.Serving || r.Serving == "" && version != r.Canary && version != r.Disallowed
}

// IsCanary reports whether a version is the canary under the rule.
func (r Rule) IsCanary(version string) bool { return version != "" && version == r.Canary }

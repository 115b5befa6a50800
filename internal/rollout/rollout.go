// Package rollout defines how the requests of a service move from the leafs of one version to those of another: the
// operators' spec, the fleet's state of carrying it out, and the rule for each node that follows from both.
//
// The package keeps no state and does no I/O. Specs and states are keys of the store, each with the revision that
// wrote it. A node derives its rule from both as of the revision that it has in force.
package rollout

import (
	"math"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/failure"
)

// Spec asks that the requests of a service move to the leafs of a version.
type Spec struct {
	Service string `json:"service"`
	// Target is the version to move to.
	Target string `json:"target"`
	// DurationMillis is how long the roll-out may take after the spec was accepted.
	DurationMillis int64 `json:"duration_millis"`
	// Revision is the store's revision that wrote the spec.
	Revision int64 `json:"-"`
	// id is that of the earlier spec that this one repeats, 0 if there is none.
	id int64
}

// ID identifies the spec among those of its service: the store's count at its first write. It stays the same when
// the store is restored and operators write the same spec again.
func (o *Spec) ID() int64 {
	if o.id != 0 {
		return o.id
	}
	return revision.Count(o.Revision)
}

// Duration returns how long the roll-out may take.
func (o *Spec) Duration() time.Duration { return time.Duration(o.DurationMillis) * time.Millisecond }

// maxDurationMillis is the longest duration of a spec in milliseconds, limited by time.Duration.
const maxDurationMillis = math.MaxInt64 / int64(time.Millisecond)

// Validate returns an error that names every invalid field.
func (o *Spec) Validate() error {
	var checks failure.Checks
	checks.Refuse(o.Service == "", "service", "must not be empty")
	checks.Refuse(o.Target == "", "target", "must not be empty")
	checks.Refuse(o.DurationMillis <= 0, "duration_millis", "must be positive")
	checks.Refuse(o.DurationMillis > maxDurationMillis, "duration_millis", "must be at most %d", maxDurationMillis)
	return checks.Err()
}

// ParseSpec reads and validates a spec in JSON that was written at a revision.
func ParseSpec(content []byte, at int64) (*Spec, error) {
	spec := &Spec{Revision: at}
	if err := json.Unmarshal(content, spec); err != nil {
		return nil, failure.Invalid("rollout", "not a roll-out order: %v", err)
	}
	return spec, spec.Validate()
}

// InheritID gives the spec the id of the one in force before it if it is the same spec, written again after a
// restore of the store.
func (o *Spec) InheritID(before *Spec) {
	if before == nil || !revision.IsLater(o.Revision, before.Revision) {
		return
	}
	if o.Target == before.Target && o.DurationMillis == before.DurationMillis {
		o.id = before.ID()
	}
}

// Phase is how far a roll-out is.
type Phase string

// The phases. The last two are final: only another spec follows on them.
const (
	// Canary sends the target a bounded share of the requests, to evaluate it.
	Canary Phase = "canary"
	// Switching moves all requests to the target, which was found good.
	Switching Phase = "switching"
	// Succeeded means that the target serves, and the version before it gets nothing more.
	Succeeded Phase = "succeeded"
	// RolledBack means that the target gets nothing.
	RolledBack Phase = "rolled_back"
)

// IsFinal reports whether no phase follows.
func (p Phase) IsFinal() bool { return p == Succeeded || p == RolledBack }

// State is how far the fleet is with a spec. It is replaced by compare-and-swap only, on condition that the spec
// is unchanged.
type State struct {
	Service string `json:"service"`
	// SpecRevision is the store's count at which the spec was written.
	SpecRevision int64 `json:"order_revision"`
	Phase        Phase `json:"phase"`
	// Serving is the version that served before the spec, and continues to unless the spec succeeds.
	Serving string `json:"serving"`
	Target  string `json:"target"`
	// StartedUnixMillis is when the writer of the spec's first state learned of the spec, by its wall clock.
	StartedUnixMillis int64 `json:"started_unix_millis"`
	// Reason explains the phase in one sentence, with figures.
	Reason string `json:"reason,omitempty"`
	// DecidedBy is the id of the node that wrote the state.
	DecidedBy string `json:"decided_by,omitempty"`
	// Revision is the store's revision that wrote the state.
	Revision int64 `json:"-"`
}

// ParseState reads and validates a state in JSON that was written at a revision.
func ParseState(content []byte, at int64) (*State, error) {
	state := &State{Revision: at}
	if err := json.Unmarshal(content, state); err != nil {
		return nil, failure.Invalid("rollout_state", "not the state of a roll-out: %v", err)
	}
	var checks failure.Checks
	checks.Refuse(state.Service == "", "service", "must not be empty")
	checks.Refuse(state.Phase != Canary && state.Phase != Switching && !state.Phase.IsFinal(), "phase", "%q; must be canary, switching, succeeded or rolled_back", state.Phase)
	return state, checks.Err()
}

// BelongsTo reports whether the state is of a spec. A state from before a restore of the store belongs to the spec
// for the same version that operators wrote again after it.
func (s *State) BelongsTo(spec *Spec) bool {
	if spec == nil || s.Target != spec.Target {
		return false
	}
	count := revision.Count(s.SpecRevision)
	return count == spec.ID() || count == revision.Count(spec.Revision) || revision.IsLater(spec.Revision, s.Revision)
}

// ServingVersion returns the version that serves by the state.
func (s *State) ServingVersion() string {
	if s.Phase == Succeeded {
		return s.Target
	}
	return s.Serving
}

// Versions are the versions that serve the services without a roll-out, as the fleet stored them when it first saw
// their leafs. Another version that appears beside the stored one gets nothing without a spec.
type Versions struct {
	// ByVersion lists the services that each version serves; each service occurs once.
	ByVersion map[string][]string `json:"by_version"`
}

// ParseVersions reads versions in JSON, and returns the version by service.
func ParseVersions(content []byte) (map[string]string, error) {
	var versions Versions
	if err := json.Unmarshal(content, &versions); err != nil {
		return nil, failure.Invalid("service_versions", "not the versions of services: %v", err)
	}
	byService := map[string]string{}
	for version, services := range versions.ByVersion {
		for _, service := range services {
			byService[service] = version
		}
	}
	return byService, nil
}

// Rule decides which versions of a service may get requests; the zero rule allows all.
type Rule struct {
	// Serving is the version that serves; empty means any but Canary and Disallowed.
	Serving string
	// Disallowed is the version that was rolled back or withdrawn, if Serving is empty; otherwise all versions but
	// Serving and Canary are disallowed.
	Disallowed string
	// ExcludesUnversioned says that leafs without a version are those that served before Serving, and get nothing.
	ExcludesUnversioned bool
	// Canary is the version that is rolled out, the target of the spec under way; empty if there is none.
	Canary string
	// Phase is Canary or Switching while there is a Canary, else empty.
	Phase Phase
	// SpecID is the id of the spec under way, 0 if there is none.
	SpecID int64
	// Revision is that of the state that the rule follows from, 0 where there is none yet.
	Revision int64
}

// RuleOf derives the rule of a service from its spec and state, each nil if there is none, and the stored serving
// version, empty if there is none. It is the only place that does.
//
// A final state decides which version serves. A spec without a final state of its own makes its target the canary, in
// phase canary until a state says otherwise. If only leafs without a version served, the rule bars the target that was
// rolled back, or excludes those leafs once a version has replaced them.
func RuleOf(spec *Spec, state *State, written string) Rule {
	rule := Rule{Serving: written}
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
	rule.Canary, rule.SpecID, rule.Phase = spec.Target, spec.ID(), Canary
	if isStateOfSpec {
		rule.Phase = state.Phase
	}
	if rule.Disallowed == rule.Canary {
		rule.Disallowed = ""
	}
	return rule
}

// WithDefaultServing returns the rule with the version that was there first as the serving one, unless the rule names
// one. A spec for that version has nothing left to do.
func (r Rule) WithDefaultServing(first string) Rule {
	if r.Serving != "" || first == "" || r.Disallowed == first {
		return r
	}
	if r.Canary == first {
		return Rule{Serving: first, Revision: r.Revision}
	}
	r.Serving, r.Disallowed = first, ""
	return r
}

// IsServing reports whether a version serves by the rule. Leafs without a version serve unless the rule excludes
// them.
func (r Rule) IsServing(version string) bool {
	if version == "" {
		return !r.ExcludesUnversioned
	}
	return version == r.Serving || r.Serving == "" && version != r.Canary && version != r.Disallowed
}

// IsCanary reports whether a version is the canary by the rule.
func (r Rule) IsCanary(version string) bool { return version != "" && version == r.Canary }

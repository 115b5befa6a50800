// Package rollout holds what moves the requests of a service from the leafs of one version to those of another:
// the operators' order, the fleet's state of carrying it out, and the rule that follows for each node.
//
// It keeps nothing and talks to nobody. Order and state are keys of the store, each with the revision that
// wrote it; a node derives its rule from both as they are at the revision that it has in force.
package rollout

import (
	"math"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/failure"
)

// Order asks that the requests of a service move to the leafs of a version.
type Order struct {
	Service string `json:"service"`
	// Target is the version that is to serve.
	Target string `json:"target"`
	// DurationMillis is how long the roll-out may take, from when the order was accepted.
	DurationMillis int64 `json:"duration_millis"`
	// Revision is the store's revision that wrote the order.
	Revision int64 `json:"-"`
	// id is that of the order that this one is written again of; 0 where it is none.
	id int64
}

// ID names the order among those of its service: the store's count that wrote it first, which stays the same when the store
// is restored, and when operators write it again after that as it was.
func (o *Order) ID() int64 {
	if o.id != 0 {
		return o.id
	}
	return revision.Count(o.Revision)
}

// Duration is how long the roll-out may take.
func (o *Order) Duration() time.Duration { return time.Duration(o.DurationMillis) * time.Millisecond }

// longestMillis is the longest duration of an order in milliseconds: what a time.Duration holds.
const longestMillis = math.MaxInt64 / int64(time.Millisecond)

// Validate names every field at fault.
func (o *Order) Validate() error {
	var checks failure.Checks
	checks.Refuse(o.Service == "", "service", "must not be empty")
	checks.Refuse(o.Target == "", "target", "must not be empty")
	checks.Refuse(o.DurationMillis <= 0, "duration_millis", "must be positive")
	checks.Refuse(o.DurationMillis > longestMillis, "duration_millis", "must be at most %d", longestMillis)
	return checks.Err()
}

// ParseOrder reads and checks an order in JSON that a revision wrote.
func ParseOrder(content []byte, at int64) (*Order, error) {
	order := &Order{Revision: at}
	if err := json.Unmarshal(content, order); err != nil {
		return nil, failure.Invalid("rollout", "not a roll-out order: %v", err)
	}
	return order, order.Validate()
}

// InheritID takes the id of an order that was in force before, if this one is the same: as it was, and written again after a
// restore of the store.
func (o *Order) InheritID(before *Order) {
	if before == nil || !revision.IsLater(o.Revision, before.Revision) {
		return
	}
	if o.Target == before.Target && o.DurationMillis == before.DurationMillis {
		o.id = before.ID()
	}
}

// Phase is how far a roll-out is.
type Phase string

// The phases. The last two are final: only another order follows on them.
const (
	// Canary sends the target a bounded share of the requests, to judge it by.
	Canary Phase = "canary"
	// Switching moves all requests to the target, which was found good.
	Switching Phase = "switching"
	// Succeeded means that the target serves, and that the version before it gets nothing more.
	Succeeded Phase = "succeeded"
	// RolledBack means that the target gets nothing.
	RolledBack Phase = "rolled_back"
)

// IsFinal reports whether no phase follows.
func (p Phase) IsFinal() bool { return p == Succeeded || p == RolledBack }

// State is how far the fleet is with an order. It is replaced by compare-and-swap only, under the condition
// that the order is still the one that it answers.
type State struct {
	Service string `json:"service"`
	// OrderRevision is the store's count that wrote the order which the state answers.
	OrderRevision int64 `json:"order_revision"`
	Phase         Phase `json:"phase"`
	// Serving is the version that served before the order, and serves on unless it succeeds.
	Serving string `json:"serving"`
	Target  string `json:"target"`
	// StartedUnixMillis is when the first state of the order was written, by its writer's time of day.
	StartedUnixMillis int64 `json:"started_unix_millis"`
	// Reason says in a sentence what the phase was decided by, with the figures.
	Reason string `json:"reason,omitempty"`
	// DecidedBy is the id of the node that wrote the state.
	DecidedBy string `json:"decided_by,omitempty"`
	// Revision is the store's revision that wrote the state.
	Revision int64 `json:"-"`
}

// ParseState reads and checks a state in JSON that a revision wrote.
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

// BelongsTo reports whether the state is of an order. One of before a restore of the store is of the order that operators
// wrote again after it, for the same version.
func (s *State) BelongsTo(order *Order) bool {
	if order == nil || s.Target != order.Target {
		return false
	}
	count := revision.Count(s.OrderRevision)
	return count == order.ID() || count == revision.Count(order.Revision) || revision.IsLater(order.Revision, s.Revision)
}

// ServingVersion gives the version that serves once the state is final, or until then.
func (s *State) ServingVersion() string {
	if s.Phase == Succeeded {
		return s.Target
	}
	return s.Serving
}

// Versions are the versions that services without a roll-out are served by, as the fleet wrote them down when
// it first saw their leafs. A version that comes beside the one written down gets nothing without an order.
type Versions struct {
	// ByVersion gives the names of the services that a version serves; each service stands once.
	ByVersion map[string][]string `json:"by_version"`
}

// ParseVersions reads versions in JSON, as the version by service.
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

// Rule says which versions of a service may get requests; the zero rule allows all.
type Rule struct {
	// Serving is the version that serves; empty means any but Trial and Barred.
	Serving string
	// Barred is the version that was rolled back or taken back where Serving is empty; else empty, since then all but
	// Serving and Trial are barred.
	Barred string
	// ExcludesUnversioned says that the leafs that tell no version were those that served before Serving, and get nothing.
	ExcludesUnversioned bool
	// Trial is the version that an order wants to serve; empty where there is none under way.
	Trial string
	// Phase is Canary or Switching while there is a Trial, else empty.
	Phase Phase
	// Order is the id of the order under way, 0 where there is none.
	Order int64
	// Revision is that of the state that the rule follows from, 0 where there is none yet.
	Revision int64
}

// RuleOf gives the rule that follows from the order and the state of a service, each nil where there is none,
// and the version written down for it, empty where there is none.
func RuleOf(order *Order, state *State, written string) Rule {
	rule := Rule{Serving: written}
	if state != nil {
		rule.Serving, rule.Revision = state.ServingVersion(), state.Revision
	}
	if state != nil && state.Serving == "" {
		rule.ExcludesUnversioned = rule.Serving != ""
		if !rule.ExcludesUnversioned {
			rule.Barred = state.Target
		}
	}
	if order == nil || order.Target == rule.Serving {
		return rule
	}
	answered := state != nil && state.BelongsTo(order)
	if answered && state.Phase.IsFinal() {
		return rule
	}
	rule.Trial, rule.Order, rule.Phase = order.Target, order.ID(), Canary
	if answered {
		rule.Phase = state.Phase
	}
	if rule.Barred == rule.Trial {
		rule.Barred = ""
	}
	return rule
}

// WithDefaultServing gives the rule of a service that is served by the version that was there first, empty where none was,
// unless the rule names one that serves. An order of the version that serves already asks for nothing.
func (r Rule) WithDefaultServing(first string) Rule {
	if r.Serving != "" || first == "" || r.Barred == first {
		return r
	}
	if r.Trial == first {
		return Rule{Serving: first, Revision: r.Revision}
	}
	r.Serving, r.Barred = first, ""
	return r
}

// IsServing reports whether a version serves by the rule; a leaf that tells no version does, unless such leafs were
// replaced.
func (r Rule) IsServing(version string) bool {
	if version == "" {
		return !r.ExcludesUnversioned
	}
	return version == r.Serving || r.Serving == "" && version != r.Trial && version != r.Barred
}

// IsTrial reports whether a version is on trial by the rule.
func (r Rule) IsTrial(version string) bool { return version != "" && version == r.Trial }

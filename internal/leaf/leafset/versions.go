package leafset

import (
	"maps"

	"github.com/portgauge/portgauge/internal/rollout"
)

// OnTrial gives the leafs of a service that take work and are of the version on trial; none where there is no
// roll-out under way. The slice is shared: callers must not change it.
func (s *Set) OnTrial(service string) []*Leaf { return s.trial[service] }

// Rule says which versions of a service may get requests.
func (s *Set) Rule(service string) rollout.Rule {
	return s.rules[service].WithDefaultServing(s.first[service])
}

// IsBarred reports whether a leaf's version neither serves nor is on trial.
func (s *Set) IsBarred(leaf *Leaf) bool {
	rule := s.Rule(leaf.Service)
	return !rule.IsServing(leaf.Version) && !rule.IsTrial(leaf.Version)
}

// IsAllowed reports whether a leaf may be sent requests if it is ready: its zone is not evacuated, and its
// version serves or is on trial.
func (s *Set) IsAllowed(leaf *Leaf) bool { return !s.evacuated[leaf.Zone] && !s.IsBarred(leaf) }

// MayServe reports whether a leaf may be sent requests outside of a trial if it is ready: its zone is not
// evacuated, and its version serves.
func (s *Set) MayServe(leaf *Leaf) bool {
	return !s.evacuated[leaf.Zone] && s.Rule(leaf.Service).IsServing(leaf.Version)
}

// MayTry reports whether a leaf may be sent requests of a trial if it is ready: its zone is not evacuated, and its
// version is on trial.
func (s *Set) MayTry(leaf *Leaf) bool {
	return !s.evacuated[leaf.Zone] && s.Rule(leaf.Service).IsTrial(leaf.Version)
}

// takesWork reports whether a leaf is ready and of a version that serves.
func (s *Set) takesWork(leaf *Leaf) bool { return leaf.State == Ready && s.MayServe(leaf) }

// isOnTrial reports whether a leaf is ready and of the version on trial.
func (s *Set) isOnTrial(leaf *Leaf) bool {
	return leaf.State == Ready && s.MayTry(leaf)
}

// SetRule notes which versions of a service may get requests.
func (e *Editor) SetRule(service string, rule rollout.Rule) {
	if e.set.rules[service] == rule {
		return
	}
	e.ruled[service] = true
	e.ownRules()
	if rule == (rollout.Rule{}) {
		delete(e.set.rules, service)
		return
	}
	e.set.rules[service] = rule
}

// ServeOneVersion has services for which no rule says which version serves be served by the one whose leafs were
// there first, or, where leafs of several come at once, by that of most. It stays the first until a rule names one.
func (e *Editor) ServeOneVersion() { e.oneVersion = true }

// noteFirst notes the version that was there first of a service, while no rule says which serves.
func (e *Editor) noteFirst(service string, leafs []*Leaf) {
	if !e.oneVersion {
		return
	}
	first := ""
	if rule := e.set.rules[service]; rule.Serving == "" {
		first = e.set.first[service]
		if first == "" || first == rule.Barred {
			first = mostCounted(countVersions(leafs, rule))
		}
	}
	if first == e.set.first[service] {
		return
	}
	e.ownFirst()
	if first == "" {
		delete(e.set.first, service)
		return
	}
	e.set.first[service] = first
}

// countVersions counts the leafs of each version but the one on trial and the one that is barred.
func countVersions(leafs []*Leaf, rule rollout.Rule) map[string]int {
	counts := map[string]int{}
	for _, leaf := range leafs {
		if leaf.Version != "" && leaf.Version != rule.Barred && !rule.IsTrial(leaf.Version) {
			counts[leaf.Version]++
		}
	}
	return counts
}

// mostCounted gives the version that was counted most; of several, the first by name.
func mostCounted(counts map[string]int) string {
	best := ""
	for version, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// findOnTrial finds which leafs of a service are on trial.
func (e *Editor) findOnTrial(service string, leafs []*Leaf) {
	var trial []*Leaf
	for _, leaf := range leafs {
		if e.set.isOnTrial(leaf) {
			trial = append(trial, leaf)
		}
	}
	if len(trial) == 0 && len(e.set.trial[service]) == 0 {
		return
	}
	e.ownTrial()
	if len(trial) == 0 {
		delete(e.set.trial, service)
		return
	}
	e.set.trial[service] = trial
}

// ownRules makes the copy's rules its own.
func (e *Editor) ownRules() {
	if !e.ownsRules {
		e.ownsRules = true
		e.set.rules = maps.Clone(e.set.rules)
	}
}

// ownFirst makes the copy's first versions its own.
func (e *Editor) ownFirst() {
	if !e.ownsFirst {
		e.ownsFirst = true
		e.set.first = maps.Clone(e.set.first)
	}
}

// ownTrial makes the copy's leafs on trial its own.
func (e *Editor) ownTrial() {
	if !e.ownsTrial {
		e.ownsTrial = true
		e.set.trial = maps.Clone(e.set.trial)
	}
}

package leafset

import (
	"maps"

	"github.com/portgauge/portgauge/internal/rollout"
)

// Canaries returns the leafs of a service that are ready and of the canary version; none if there is no
// roll-out in progress. The slice is shared: callers must not modify it.
func (s *Set) Canaries(service string) []*Leaf { return s.canaries[service] }

// Rule returns which versions of a service may get requests.
func (s *Set) Rule(service string) rollout.Rule {
	return s.rules[service].WithDefaultServing(s.first[service])
}

// IsVersionDisallowed reports whether a leaf's version neither serves nor is the canary version.
func (s *Set) IsVersionDisallowed(leaf *Leaf) bool {
	rule := s.Rule(leaf.Service)
	return !rule.IsServing(leaf.Version) && !rule.IsCanary(leaf.Version)
}

// IsAllowed reports whether a leaf may get requests if it is ready: its zone is not evacuated, and its
// version serves or is the canary version.
func (s *Set) IsAllowed(leaf *Leaf) bool {
	return !s.evacuated[leaf.Zone] && !s.IsVersionDisallowed(leaf)
}

// MayServe reports whether a leaf may get requests other than those for canaries if it is ready: its zone is not
// evacuated, and its version serves.
func (s *Set) MayServe(leaf *Leaf) bool {
	return !s.evacuated[leaf.Zone] && s.Rule(leaf.Service).IsServing(leaf.Version)
}

// MayServeCanary reports whether a leaf may get requests for canaries if it is ready: its zone is not evacuated, and its
// version is the canary version.
func (s *Set) MayServeCanary(leaf *Leaf) bool {
	return !s.evacuated[leaf.Zone] && s.Rule(leaf.Service).IsCanary(leaf.Version)
}

// isServing reports whether a leaf is ready and MayServe.
func (s *Set) isServing(leaf *Leaf) bool { return leaf.State == Ready && s.MayServe(leaf) }

// isCanary reports whether a leaf is ready and MayServeCanary.
func (s *Set) isCanary(leaf *Leaf) bool { return leaf.State == Ready && s.MayServeCanary(leaf) }

// SetRule sets which versions of a service may get requests.
func (e *Editor) SetRule(service string, rule rollout.Rule) {
	if e.set.rules[service] == rule {
		return
	}
	e.changedRules[service] = true
	e.ownRules()
	if rule == (rollout.Rule{}) {
		delete(e.set.rules, service)
		return
	}
	e.set.rules[service] = rule
}

// DefaultToFirstVersion makes services for which no rule names a serving version be served by one version, see
// updateFirst.
func (e *Editor) DefaultToFirstVersion() { e.defaultToFirst = true }

// updateFirst decides which version of a service serves while no rule names one.
//
// Rule: the version whose leafs were there first, or, if leafs of several come at once, the one with the most leafs. It
// remains the first until a rule names a serving version or bars it. A new version must not get requests just because
// its leafs appear: a rollout spec decides that.
func (e *Editor) updateFirst(service string, leafs []*Leaf) {
	if !e.defaultToFirst {
		return
	}
	first := ""
	if rule := e.set.rules[service]; rule.Serving == "" {
		first = e.set.first[service]
		if first == "" || first == rule.Disallowed {
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

// countVersions counts the leafs of each version except the canary version and the disallowed one.
func countVersions(leafs []*Leaf, rule rollout.Rule) map[string]int {
	counts := map[string]int{}
	for _, leaf := range leafs {
		if leaf.Version != "" && leaf.Version != rule.Disallowed && !rule.IsCanary(leaf.Version) {
			counts[leaf.Version]++
		}
	}
	return counts
}

// mostCounted returns the version with the highest count; of several, the first by name.
func mostCounted(counts map[string]int) string {
	best := ""
	for version, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// updateCanaries determines which leafs of a service are canaries.
func (e *Editor) updateCanaries(service string, leafs []*Leaf) {
	var canaries []*Leaf
	for _, leaf := range leafs {
		if e.set.isCanary(leaf) {
			canaries = append(canaries, leaf)
		}
	}
	if len(canaries) == 0 && len(e.set.canaries[service]) == 0 {
		return
	}
	e.ownCanaries()
	if len(canaries) == 0 {
		delete(e.set.canaries, service)
		return
	}
	e.set.canaries[service] = canaries
}

// ownRules copies the rules.
func (e *Editor) ownRules() {
	if !e.ownsRules {
		e.ownsRules = true
		e.set.rules = maps.Clone(e.set.rules)
	}
}

// ownFirst copies the first versions.
func (e *Editor) ownFirst() {
	if !e.ownsFirst {
		e.ownsFirst = true
		e.set.first = maps.Clone(e.set.first)
	}
}

// ownCanaries copies the canaries.
func (e *Editor) ownCanaries() {
	if !e.ownsCanaries {
		e.ownsCanaries = true
		e.set.canaries = maps.Clone(e.set.canaries)
	}
}

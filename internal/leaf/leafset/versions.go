package leafset

import (
	"maps"

	"github.com/portgauge/portgauge/internal/rollout"
)

// CanaryLeafs returns the ready leafs of a service that have the canary version; none if no rollout is in progress. The
// slice is shared: callers must not modify it.
func (s *Set) CanaryLeafs(service string) []*Leaf { return s.canaryLeafs[service] }

// Rule returns the rule that determines which versions of a service may get requests.
func (s *Set) Rule(service string) rollout.Rule {
	return s.rules[service].WithDefaultServing(s.first[service])
}

// IsVersionDisallowed reports whether a leaf's version neither serves nor is the canary version.
func (s *Set) IsVersionDisallowed(leaf *Leaf) bool {
	rule := s.Rule(leaf.Service)
	return !rule.IsServing(leaf.Version) && !rule.IsCanary(leaf.Version)
}

// IsAllowed reports whether a leaf may get requests if it is ready: its zone is not evacuated, and its version serves
// or is the canary version.
func (s *Set) IsAllowed(leaf *Leaf) bool {
	return !s.evacuated[leaf.Zone] && !s.IsVersionDisallowed(leaf)
}

// MayServe reports whether a leaf may get requests other than canary requests if it is ready: its zone is not
// evacuated, and its version serves.
func (s *Set) MayServe(leaf *Leaf) bool {
	return !s.evacuated[leaf.Zone] && s.Rule(leaf.Service).IsServing(leaf.Version)
}

// MayServeCanary reports whether a leaf may get canary requests if it is ready: its zone is not evacuated, and its
// version is the canary version.
func (s *Set) MayServeCanary(leaf *Leaf) bool {
	return !s.evacuated[leaf.Zone] && s.Rule(leaf.Service).IsCanary(leaf.Version)
}

// isServing reports whether a leaf is ready and MayServe is true.
func (s *Set) isServing(leaf *Leaf) bool { return leaf.State == Ready && s.MayServe(leaf) }

// isCanary reports whether a leaf is ready and MayServeCanary is true.
func (s *Set) isCanary(leaf *Leaf) bool { return leaf.State == Ready && s.MayServeCanary(leaf) }

// SetRule sets the rule that determines which versions of a service may get requests. The zero rule removes it.
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

// DefaultToFirstVersion makes each service whose rule names no serving version be served by its first version; see
// updateFirst.
func (e *Editor) DefaultToFirstVersion() { e.defaultsToFirst = true }

// updateFirst determines the version that serves a service while no rule names a serving version: the one whose leafs
// registered first or, if leafs of several versions register at once, the one with the most leafs. It remains the first
// version until a rule names a serving version or disallows it. A new version must not get requests merely because its
// leafs registered; that requires a rollout spec.
func (e *Editor) updateFirst(service string, leafs []*Leaf) {
	if !e.defaultsToFirst {
		return
	}
	first := ""
	if rule := e.set.rules[service]; rule.Serving == "" {
		first = e.set.first[service]
		if first == "" || first == rule.Disallowed {
			first = mostFrequent(countVersions(leafs, rule))
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

// mostFrequent returns the version with the highest count; ties go to the first version in lexical order.
func mostFrequent(counts map[string]int) string {
	best := ""
	for version, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

func (e *Editor) updateCanaryLeafs(service string, leafs []*Leaf) {
	var canaryLeafs []*Leaf
	for _, leaf := range leafs {
		if e.set.isCanary(leaf) {
			canaryLeafs = append(canaryLeafs, leaf)
		}
	}
	if len(canaryLeafs) == 0 && len(e.set.canaryLeafs[service]) == 0 {
		return
	}
	e.ownCanaryLeafs()
	if len(canaryLeafs) == 0 {
		delete(e.set.canaryLeafs, service)
		return
	}
	e.set.canaryLeafs[service] = canaryLeafs
}

// ownRules copies the rules unless they are already copied.
func (e *Editor) ownRules() {
	if !e.ownsRules {
		e.ownsRules = true
		e.set.rules = maps.Clone(e.set.rules)
	}
}

// ownFirst copies the first versions unless they are already copied.
func (e *Editor) ownFirst() {
	if !e.ownsFirst {
		e.ownsFirst = true
		e.set.first = maps.Clone(e.set.first)
	}
}

// ownCanaryLeafs copies the canary leafs unless they are already copied.
func (e *Editor) ownCanaryLeafs() {
	if !e.ownsCanaryLeafs {
		e.ownsCanaryLeafs = true
		e.set.canaryLeafs = maps.Clone(e.set.canaryLeafs)
	}
}

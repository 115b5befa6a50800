package leafset

import (
	"maps"
	"slices"
	"strings"

	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Editor makes a changed copy of a set. The original remains unchanged and shares the unchanged parts with the copy.
type Editor struct {
	set          *Set
	owned        map[string]bool // services whose slice of leafs is not shared
	changedRules map[string]bool // services whose rule changed
	// ownsRules, ownsFirst, ownsCanaryLeafs and ownsLost say which maps of the set are not shared.
	ownsRules, ownsFirst, ownsCanaryLeafs, ownsLost bool
	// defaultsToFirst says that a service whose rule names no serving version is served by its first version.
	defaultsToFirst bool
	// evacuationsChanged says that the ready leafs of every service must be updated.
	evacuationsChanged bool
	// replaced is the set that is replaced entirely; nil if the editor changes a set.
	replaced *Set
	// excluded are the names passed to Exclude.
	excluded map[string]bool
	clock    boottime.Clock
}

// SetClock sets the clock by which losses are recorded. The default is the monotonic clock.
func (e *Editor) SetClock(clock boottime.Clock) { e.clock = clock }

// Replace starts with an empty set that replaces another. Ready leafs of the replaced set that are not added are
// recorded as lost.
func Replace(before *Set) *Editor {
	editor := Empty().Edit()
	editor.set.lost, editor.set.first = before.lost, before.first
	editor.replaced = before
	return editor
}

// Edit starts with a copy of the set.
func (s *Set) Edit() *Editor {
	copied := &Set{
		byService: maps.Clone(s.byService), ready: maps.Clone(s.ready), byName: maps.Clone(s.byName), evacuated: s.evacuated,
		rules: s.rules, first: s.first, canaryLeafs: s.canaryLeafs, lost: s.lost,
	}
	return &Editor{set: copied, owned: map[string]bool{}, changedRules: map[string]bool{}}
}

// Put adds a leaf or replaces the leaf with the same name. A leaf that stops being ready is recorded as lost and may
// get requests for a while, since discovery may list it again. An incarnation that is replaced by another is not,
// because its process has ended.
func (e *Editor) Put(leaf *Leaf) {
	known := e.drop(leaf.Name)
	switch {
	case leaf.State == Ready, e.wasOtherIncarnationLost(leaf), known != nil && known.ID != leaf.ID:
		e.forgetLoss(leaf.Name)
	case known != nil && known.State == Ready:
		e.lose(known)
	}
	e.set.byName[leaf.Name] = leaf
	leafs := e.own(leaf.Service)
	at, _ := slices.BinarySearchFunc(leafs, leaf.Name, func(known *Leaf, name string) int { return strings.Compare(known.Name, name) })
	e.set.byService[leaf.Service] = slices.Insert(leafs, at, leaf)
}

// Remove removes the leaf with the given name, if there is one, and records it as lost if it was ready.
func (e *Editor) Remove(name string) {
	if known := e.drop(name); known != nil && known.State == Ready {
		e.lose(known)
	}
}

// Exclude removes the leaf with the given name without recording it as lost, because the record does not describe a
// leaf.
func (e *Editor) Exclude(name string) {
	e.drop(name)
	e.forgetLoss(name)
	if e.excluded == nil {
		e.excluded = map[string]bool{}
	}
	e.excluded[name] = true
}

// wasOtherIncarnationLost reports whether another incarnation of a leaf is recorded as lost.
func (e *Editor) wasOtherIncarnationLost(leaf *Leaf) bool {
	entry, wasLost := e.set.lost[leaf.Name]
	return wasLost && entry.leaf.ID != leaf.ID
}

// lose records a leaf that has been ready until now as lost.
func (e *Editor) lose(known *Leaf) {
	e.ownLost()
	e.set.lost[known.Name] = lostLeaf{leaf: known, at: e.clock.Now()}
}

// forgetLoss removes a leaf from the lost leafs, because it is ready again or its process has ended.
func (e *Editor) forgetLoss(name string) {
	if _, wasLost := e.set.lost[name]; wasLost {
		e.ownLost()
		delete(e.set.lost, name)
	}
}

// ownLost copies the lost leafs unless they are already copied, and drops leafs lost more than lostRetention ago.
func (e *Editor) ownLost() {
	if e.ownsLost {
		return
	}
	e.ownsLost = true
	oldest := e.clock.Now().Add(-lostRetention)
	e.set.lost = maps.Clone(e.set.lost)
	maps.DeleteFunc(e.set.lost, func(_ string, entry lostLeaf) bool { return entry.at.Before(oldest) })
}

// drop removes the leaf with the given name and returns it, or nil if there is none.
func (e *Editor) drop(name string) *Leaf {
	known, found := e.set.byName[name]
	if !found {
		return nil
	}
	delete(e.set.byName, name)
	leafs := slices.DeleteFunc(e.own(known.Service), func(leaf *Leaf) bool { return leaf.Name == name })
	if len(leafs) == 0 {
		delete(e.set.byService, known.Service)
		return known
	}
	e.set.byService[known.Service] = leafs
	return known
}

func (e *Editor) SetEvacuated(zone string, evacuated bool) {
	if e.set.evacuated[zone] == evacuated {
		return
	}
	e.set.evacuated = maps.Clone(e.set.evacuated)
	e.evacuationsChanged = true
	if evacuated {
		e.set.evacuated[zone] = true
		return
	}
	delete(e.set.evacuated, zone)
}

// Done returns the changed set. The editor must not be used afterwards.
func (e *Editor) Done() *Set {
	if e.replaced != nil {
		e.loseReplaced()
	}
	if e.evacuationsChanged {
		for service := range e.set.byService {
			e.updateReady(service)
		}
	}
	for service := range e.owned {
		e.updateReady(service)
	}
	for service := range e.changedRules {
		e.updateReady(service)
	}
	return e.set
}

// loseReplaced records the ready leafs of the replaced set that are not ready in the new one as lost.
func (e *Editor) loseReplaced() {
	for name, before := range e.replaced.byName {
		now, found := e.set.byName[name]
		switch {
		case found && now.ID != before.ID, e.excluded[name]:
			e.forgetLoss(name)
		case before.State == Ready && (!found || now.State != Ready):
			e.lose(before)
		}
	}
}

// updateReady updates the first version, the canary leafs and the ready leafs of a service.
func (e *Editor) updateReady(service string) {
	leafs := e.set.byService[service]
	e.updateFirst(service, leafs)
	e.updateCanaryLeafs(service, leafs)
	isUnusable := func(leaf *Leaf) bool { return !e.set.isServing(leaf) }
	if !slices.ContainsFunc(leafs, isUnusable) {
		delete(e.set.ready, service)
		return
	}
	e.set.ready[service] = slices.DeleteFunc(slices.Clone(leafs), isUnusable)
}

// own returns the leafs of a service in a slice that is not shared.
func (e *Editor) own(service string) []*Leaf {
	if !e.owned[service] {
		e.owned[service] = true
		e.set.byService[service] = slices.Clone(e.set.byService[service])
	}
	return e.set.byService[service]
}

package leafset

import (
	"maps"
	"slices"
	"strings"

	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Editor changes a copy of a set; the original stays as it is.
type Editor struct {
	set   *Set
	owned map[string]bool // services whose slice is the copy's own
	ruled map[string]bool // services whose rule changed
	// ownsRules, ownsFirst and ownsTrial say which of these the copy has of its own.
	ownsRules, ownsFirst, ownsTrial bool
	// oneVersion says that services for which no rule names a version that serves are given one.
	oneVersion bool
	// evacuationsChanged says that the ready leafs of every service must be found anew.
	evacuationsChanged bool
	ownsLost           bool
	// replaced is the set that a whole new one takes the place of; nil for changes of a set.
	replaced *Set
	// disowned are names under which no leaf is told of.
	disowned map[string]bool
	clock    boottime.Clock
}

// SetClock has losses noted by a clock other than the steady one.
func (e *Editor) SetClock(clock boottime.Clock) { e.clock = clock }

// Replace starts a set from nothing that takes the place of another: what it lacks was lost.
func Replace(before *Set) *Editor {
	editor := Empty().Edit()
	editor.set.lost, editor.set.first = before.lost, before.first
	editor.replaced = before
	return editor
}

// Edit starts a copy.
func (s *Set) Edit() *Editor {
	copied := &Set{
		byService: maps.Clone(s.byService), ready: maps.Clone(s.ready), byName: maps.Clone(s.byName), evacuated: s.evacuated,
		rules: s.rules, first: s.first, trial: s.trial, lost: s.lost,
	}
	return &Editor{set: copied, owned: map[string]bool{}, ruled: map[string]bool{}}
}

// Put adds a leaf or replaces the one of its name. One of another life is gone with its process: it isn't lost, as one that
// may only be unlisted for a while.
func (e *Editor) Put(leaf *Leaf) {
	known := e.drop(leaf.Name)
	switch {
	case leaf.State == Ready, e.isOtherLifeLost(leaf), known != nil && known.ID != leaf.ID:
		e.forgetLoss(leaf.Name)
	case known != nil && known.State == Ready:
		e.lose(known)
	}
	e.set.byName[leaf.Name] = leaf
	leafs := e.own(leaf.Service)
	at, _ := slices.BinarySearchFunc(leafs, leaf.Name, func(known *Leaf, name string) int { return strings.Compare(known.Name, name) })
	e.set.byService[leaf.Service] = slices.Insert(leafs, at, leaf)
}

// Remove drops the leaf of a name, if there is one.
func (e *Editor) Remove(name string) {
	if known := e.drop(name); known != nil && known.State == Ready {
		e.lose(known)
	}
}

// Exclude drops the leaf of a name without a memory of it: what is kept under its name tells of no leaf.
func (e *Editor) Exclude(name string) {
	e.drop(name)
	e.forgetLoss(name)
	if e.disowned == nil {
		e.disowned = map[string]bool{}
	}
	e.disowned[name] = true
}

// isOtherLifeLost reports whether a life of a leaf other than a given one is remembered as lost.
func (e *Editor) isOtherLifeLost(leaf *Leaf) bool {
	one, wasLost := e.set.lost[leaf.Name]
	return wasLost && one.leaf.ID != leaf.ID
}

// lose remembers a leaf that was ready until now.
func (e *Editor) lose(known *Leaf) {
	e.ownLost()
	e.set.lost[known.Name] = lost{leaf: known, at: e.clock.Now()}
}

// forgetLoss forgets that a leaf was lost: it is ready again, or its process is over.
func (e *Editor) forgetLoss(name string) {
	if _, wasLost := e.set.lost[name]; wasLost {
		e.ownLost()
		delete(e.set.lost, name)
	}
}

// ownLost makes the copy's lost leafs its own, without those that were lost long ago.
func (e *Editor) ownLost() {
	if e.ownsLost {
		return
	}
	e.ownsLost = true
	oldest := e.clock.Now().Add(-lostKept)
	e.set.lost = maps.Clone(e.set.lost)
	maps.DeleteFunc(e.set.lost, func(_ string, one lost) bool { return one.at.Before(oldest) })
}

// drop takes the leaf of a name out and gives it; nil when there is none.
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

// SetEvacuated notes whether a zone is evacuated.
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

// Done gives the changed set; the editor must not be used after it.
func (e *Editor) Done() *Set {
	if e.replaced != nil {
		e.loseReplaced()
	}
	if e.evacuationsChanged {
		for service := range e.set.byService {
			e.findReady(service)
		}
	}
	for service := range e.owned {
		e.findReady(service)
	}
	for service := range e.ruled {
		e.findReady(service)
	}
	return e.set
}

// loseReplaced remembers the ready leafs of the replaced set that are not ready in the new one.
func (e *Editor) loseReplaced() {
	for name, before := range e.replaced.byName {
		now, found := e.set.byName[name]
		switch {
		case found && now.ID != before.ID, e.disowned[name]:
			e.forgetLoss(name)
		case before.State == Ready && (!found || now.State != Ready):
			e.lose(before)
		}
	}
}

// findReady finds which leafs of a service take work, and which of those are on trial.
func (e *Editor) findReady(service string) {
	leafs := e.set.byService[service]
	e.noteFirst(service, leafs)
	e.findOnTrial(service, leafs)
	isUnusable := func(leaf *Leaf) bool { return !e.set.takesWork(leaf) }
	if !slices.ContainsFunc(leafs, isUnusable) {
		delete(e.set.ready, service)
		return
	}
	e.set.ready[service] = slices.DeleteFunc(slices.Clone(leafs), isUnusable)
}

func (e *Editor) own(service string) []*Leaf {
	if !e.owned[service] {
		e.owned[service] = true
		e.set.byService[service] = slices.Clone(e.set.byService[service])
	}
	return e.set.byService[service]
}

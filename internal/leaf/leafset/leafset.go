// Package leafset holds the leafs registered in discovery, by service, and determines which of them may get requests.
//
// A leaf is one incarnation of a back end, that is, one process. A new process usually has a new name, even at the same
// address. A new process that keeps the name of an earlier one does not share its state and is a different leaf. State
// about a leaf is keyed by its ID, which consists of the name and the start time, so that the state of an earlier
// incarnation is never used for a later one.
//
// A Set is immutable and belongs to a catalog view. An Editor makes a changed copy. Rules of package rollout determine
// which versions of a service get requests. The package reads clocks only to record when leafs were lost, starts no
// goroutines, and returns failure.Failure errors for records that can't be parsed.
package leafset

import (
	"maps"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/rollout"
)

// Set holds the leafs of all services at one revision. It is immutable.
type Set struct {
	byService map[string][]*Leaf // each sorted by name
	ready     map[string][]*Leaf // leafs of byService that get requests; no entry for a service whose leafs all do
	byName    map[string]*Leaf
	evacuated map[string]bool // zones whose leafs must not get requests
	// rules determine which versions of a service may get requests; services without a rule have no entry.
	rules map[string]rollout.Rule
	// first is the first version of each service whose rule names no serving version; see Editor.updateFirst.
	first map[string]string
	// canaryLeafs are the ready leafs of byService that have the canary version.
	canaryLeafs map[string][]*Leaf
	lost        map[string]lostLeaf // leafs that were ready until recently, by name
}

// lostLeaf is a leaf that was ready until recently, and the time at which it was lost.
type lostLeaf struct {
	leaf *Leaf
	at   time.Time
}

// lostRetention is how long a set keeps lost leafs. It must exceed the time for which package leafmemory uses them.
const lostRetention = 15 * time.Second

// Empty returns a set without leafs.
func Empty() *Set {
	return &Set{
		byService: map[string][]*Leaf{}, ready: map[string][]*Leaf{}, byName: map[string]*Leaf{}, evacuated: map[string]bool{},
		rules: map[string]rollout.Rule{}, first: map[string]string{}, canaryLeafs: map[string][]*Leaf{}, lost: map[string]lostLeaf{},
	}
}

// ByService returns the leafs of a service. The slice is shared: callers must not modify it.
func (s *Set) ByService(service string) []*Leaf { return s.byService[service] }

// Ready returns the leafs of a service that get requests: leafs that are ready, whose zone is not evacuated and whose
// version serves. The slice is shared: callers must not modify it.
func (s *Set) Ready(service string) []*Leaf {
	if some, found := s.ready[service]; found {
		return some
	}
	return s.byService[service]
}

// IsEvacuated reports whether an operator evacuated a zone, so that its leafs must not get requests.
func (s *Set) IsEvacuated(zone string) bool { return s.evacuated[zone] }

// EvacuatedZones returns the evacuated zones, sorted.
func (s *Set) EvacuatedZones() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// LostSince returns the leafs of a service that were lost at the given time or later, in no particular order. A leaf is
// lost when this node applies the change that makes it cease to be ready. Leafs lost more than lostRetention ago may be
// missing.
func (s *Set) LostSince(service string, since time.Time) []*Leaf {
	var leafs []*Leaf
	for _, entry := range s.lost {
		if entry.leaf.Service == service && !entry.at.Before(since) {
			leafs = append(leafs, entry.leaf)
		}
	}
	return leafs
}

// LostByID returns the leaf with the given ID if it was lost at the given time or later.
func (s *Set) LostByID(id string, since time.Time) (*Leaf, bool) {
	entry, found := lookupByID(s.lost, id)
	if !found || entry.leaf.ID != id || entry.at.Before(since) {
		return nil, false
	}
	return entry.leaf, true
}

// LostIDs returns the IDs of all leafs that were lost at the given time or later, in no particular order.
func (s *Set) LostIDs(since time.Time) []string {
	var ids []string
	for _, entry := range s.lost {
		if !entry.at.Before(since) {
			ids = append(ids, entry.leaf.ID)
		}
	}
	return ids
}

// ByID returns the leaf with the given ID. It returns false if there is none or only another incarnation.
func (s *Set) ByID(id string) (*Leaf, bool) {
	leaf, found := lookupByID(s.byName, id)
	if !found || leaf.ID != id {
		return nil, false
	}
	return leaf, true
}

// ByName returns the leaf with the given name, regardless of its incarnation.
func (s *Set) ByName(name string) (*Leaf, bool) {
	leaf, found := s.byName[name]
	return leaf, found
}

// Len returns the number of leafs.
func (s *Set) Len() int { return len(s.byName) }

// IDs returns the IDs of all leafs, in no particular order.
func (s *Set) IDs() []string {
	ids := make([]string, 0, len(s.byName))
	for _, leaf := range s.byName {
		ids = append(ids, leaf.ID)
	}
	return ids
}

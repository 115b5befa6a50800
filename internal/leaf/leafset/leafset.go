// Package leafset is the set of leafs that discovery knows, by service, and which of them may get requests.
//
// A leaf is one incarnation of a back end, that is, one of its processes. A new process mostly has a new name, even at an
// old address; one that keeps its name has none of the state of the one before, and is another leaf. State about a leaf is
// kept by its id, which consists of name and start, so that no state of an earlier incarnation is used for a later one.
//
// A Set is immutable and belongs to a catalog view. An Editor makes a changed copy. Rules of package rollout decide which
// versions of a service get requests. The package reads clocks only to record when leafs were lost, starts no goroutines,
// and returns failure.Failure errors for records that can't be parsed.
package leafset

import (
	"maps"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/rollout"
)

// Set is the leafs of all services at one revision; immutable.
type Set struct {
	byService map[string][]*Leaf // each sorted by name
	ready     map[string][]*Leaf // those of byService that get requests; services whose leafs all do are left out
	byName    map[string]*Leaf
	evacuated map[string]bool // zones whose leafs must get no requests
	// rules say which versions of a service may get requests; services without a rule are left out.
	rules map[string]rollout.Rule
	// first is the version that was there first, for each service whose rule names no serving version.
	first map[string]string
	// canaries are those of byService that are ready and of the canary version.
	canaries map[string][]*Leaf
	lost     map[string]lostLeaf // by name; leafs that were ready until a moment ago
}

// lostLeaf is a leaf that was ready until a moment ago, and when it ceased to be.
type lostLeaf struct {
	leaf *Leaf
	at   time.Time
}

// lostRetention is how long a set keeps leafs that were lost. It must exceed the time for which package leafmemory uses them.
const lostRetention = 15 * time.Second

// Empty returns a set without leafs.
func Empty() *Set {
	return &Set{
		byService: map[string][]*Leaf{}, ready: map[string][]*Leaf{}, byName: map[string]*Leaf{}, evacuated: map[string]bool{},
		rules: map[string]rollout.Rule{}, first: map[string]string{}, canaries: map[string][]*Leaf{}, lost: map[string]lostLeaf{},
	}
}

// ByService returns the leafs of a service. The slice is shared: callers must not modify it.
func (s *Set) ByService(service string) []*Leaf { return s.byService[service] }

// Ready returns the leafs of a service that get requests: they are ready, their zone is not evacuated, and their version
// serves. The slice is shared: callers must not modify it.
func (s *Set) Ready(service string) []*Leaf {
	if some, found := s.ready[service]; found {
		return some
	}
	return s.byService[service]
}

// IsEvacuated reports whether the leafs of a zone must get no requests, by order of an operator.
func (s *Set) IsEvacuated(zone string) bool { return s.evacuated[zone] }

// EvacuatedZones returns the evacuated zones, sorted.
func (s *Set) EvacuatedZones() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// LostSince returns the leafs of a service that ceased to be ready at a time or later, by when this node applied the
// change, in no order. Leafs lost more than lostRetention ago are forgotten.
func (s *Set) LostSince(service string, since time.Time) []*Leaf {
	var leafs []*Leaf
	for _, one := range s.lost {
		if one.leaf.Service == service && !one.at.Before(since) {
			leafs = append(leafs, one.leaf)
		}
	}
	return leafs
}

// LostByID returns a leaf that ceased to be ready at a time or later.
func (s *Set) LostByID(id string, since time.Time) (*Leaf, bool) {
	one, found := byNameOf(s.lost, id)
	if !found || one.leaf.ID != id || one.at.Before(since) {
		return nil, false
	}
	return one.leaf, true
}

// LostIDs returns the ids of all leafs that ceased to be ready at a time or later, in no order.
func (s *Set) LostIDs(since time.Time) []string {
	var ids []string
	for _, one := range s.lost {
		if !one.at.Before(since) {
			ids = append(ids, one.leaf.ID)
		}
	}
	return ids
}

// ByID returns a leaf; false if discovery knows none of that id, or another incarnation of it.
func (s *Set) ByID(id string) (*Leaf, bool) {
	leaf, found := byNameOf(s.byName, id)
	if !found || leaf.ID != id {
		return nil, false
	}
	return leaf, true
}

// ByName returns the current leaf of a name, whichever incarnation it is of.
func (s *Set) ByName(name string) (*Leaf, bool) {
	leaf, found := s.byName[name]
	return leaf, found
}

// Len returns the number of leafs.
func (s *Set) Len() int { return len(s.byName) }

// IDs returns the ids of all leafs, in no order.
func (s *Set) IDs() []string {
	ids := make([]string, 0, len(s.byName))
	for _, leaf := range s.byName {
		ids = append(ids, leaf.ID)
	}
	return ids
}

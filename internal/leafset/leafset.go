// Package leafset holds which leafs there are, as the platform's discovery tells it.
//
// A leaf is one incarnation of a back end: a new start has a new id, even at an old address.
package leafset

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// State is a leaf's own word on whether it takes work.
type State string

// The states of a leaf.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Record is what discovery tells of one leaf.
type Record struct {
	// ID names the incarnation.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is an IP number and port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many requests the leaf works on at once; 0 when unknown.
	Slots int   `json:"slots,omitempty"`
	State State `json:"state"`
	// WarmupMillis is how much longer the leaf was slow when the record was written.
	WarmupMillis int64 `json:"warmup_millis,omitempty"`
}

// Leaf is a record with when and how this node learned of it; immutable.
type Leaf struct {
	Record
	// Revision is the store's revision that wrote the record.
	Revision int64
	// ColdUntil is until when the leaf bears few requests, by this node's clock; zero when it is warm. Word
	// of it is as old as the way from the store, so that the leaf is warm a little sooner.
	ColdUntil time.Time
}

// NewLeaf makes a leaf from a record that this node learned of at a time.
func NewLeaf(record Record, revision int64, learned time.Time) *Leaf {
	leaf := &Leaf{Record: record, Revision: revision}
	if record.WarmupMillis > 0 {
		leaf.ColdUntil = learned.Add(time.Duration(record.WarmupMillis) * time.Millisecond)
	}
	return leaf
}

// List is many records, as they are written down together.
type List struct {
	Leafs []Record `json:"leafs"`
}

// ParseList reads a list in JSON into a set of the given revision.
func ParseList(content []byte, revision int64) (*Set, error) {
	var list List
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, failure.Invalid("leafs", "not a list of leafs: %v", err)
	}
	editor := Empty().Edit()
	for _, record := range list.Leafs {
		editor.Put(&Leaf{Record: record, Revision: revision})
	}
	return editor.Done(), nil
}

// Parse reads and checks a record in JSON.
func Parse(content []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(content, &record); err != nil {
		return Record{}, failure.Invalid("leaf", "not a leaf record: %v", err)
	}
	var checks failure.Checks
	checks.Refuse(record.ID == "", "id", "must not be empty")
	checks.Refuse(record.Service == "", "service", "must not be empty")
	checks.Refuse(record.Address == "", "address", "must not be empty")
	return record, checks.Err()
}

// Set is the leafs of all services at one revision; immutable.
type Set struct {
	byService map[string][]*Leaf // each sorted by id
	ready     map[string][]*Leaf // of byService, those that take work; services with all of them left out
	byID      map[string]*Leaf
	evacuated map[string]bool // zones whose leafs must get nothing
}

// Empty gives a set without leafs.
func Empty() *Set {
	return &Set{byService: map[string][]*Leaf{}, ready: map[string][]*Leaf{}, byID: map[string]*Leaf{}, evacuated: map[string]bool{}}
}

// Of gives the leafs of a service. The slice is shared: callers must not change it.
func (s *Set) Of(service string) []*Leaf { return s.byService[service] }

// Ready gives the leafs of a service that take work. The slice is shared: callers must not change
// it.
func (s *Set) Ready(service string) []*Leaf {
	if some, found := s.ready[service]; found {
		return some
	}
	return s.byService[service]
}

// IsEvacuated reports whether operators want nothing sent to the leafs of a zone.
func (s *Set) IsEvacuated(zone string) bool { return s.evacuated[zone] }

// EvacuatedZones gives the zones that are evacuated, sorted.
func (s *Set) EvacuatedZones() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// IsUsable reports whether a leaf takes work: it is ready, and its zone is not evacuated.
func (s *Set) IsUsable(leaf *Leaf) bool { return leaf.State == Ready && !s.evacuated[leaf.Zone] }

// ByID gives a leaf; false when discovery knows none of that id.
func (s *Set) ByID(id string) (*Leaf, bool) {
	leaf, found := s.byID[id]
	return leaf, found
}

// Len gives the number of leafs.
func (s *Set) Len() int { return len(s.byID) }

// IDs gives the ids of all leafs, in no order.
func (s *Set) IDs() []string {
	ids := make([]string, 0, len(s.byID))
	for id := range s.byID {
		ids = append(ids, id)
	}
	return ids
}

// Editor changes a copy of a set; the original stays as it is.
type Editor struct {
	set   *Set
	owned map[string]bool // services whose slice is the copy's own
	// evacuationsChanged says that the ready leafs of every service must be found anew.
	evacuationsChanged bool
}

// Edit starts a copy.
func (s *Set) Edit() *Editor {
	copied := &Set{byService: maps.Clone(s.byService), ready: maps.Clone(s.ready), byID: maps.Clone(s.byID), evacuated: s.evacuated}
	return &Editor{set: copied, owned: map[string]bool{}}
}

// Put adds a leaf or replaces the one of its id.
func (e *Editor) Put(leaf *Leaf) {
	e.Remove(leaf.ID)
	e.set.byID[leaf.ID] = leaf
	leafs := e.own(leaf.Service)
	at, _ := slices.BinarySearchFunc(leafs, leaf.ID, func(known *Leaf, id string) int { return strings.Compare(known.ID, id) })
	e.set.byService[leaf.Service] = slices.Insert(leafs, at, leaf)
}

// Remove drops the leaf of an id, if there is one.
func (e *Editor) Remove(id string) {
	known, found := e.set.byID[id]
	if !found {
		return
	}
	delete(e.set.byID, id)
	leafs := slices.DeleteFunc(e.own(known.Service), func(leaf *Leaf) bool { return leaf.ID == id })
	if len(leafs) == 0 {
		delete(e.set.byService, known.Service)
		return
	}
	e.set.byService[known.Service] = leafs
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
	if e.evacuationsChanged {
		for service := range e.set.byService {
			e.findReady(service)
		}
	}
	for service := range e.owned {
		e.findReady(service)
	}
	return e.set
}

// findReady finds which leafs of a service take work.
func (e *Editor) findReady(service string) {
	isUnusable := func(leaf *Leaf) bool { return !e.set.IsUsable(leaf) }
	leafs := e.set.byService[service]
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

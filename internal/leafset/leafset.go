// Package leafset holds which leafs there are, as the platform's discovery tells it.
//
// A leaf is one incarnation of a back end. A new start mostly has a new id, even at an old address; one that keeps its id
// begins another life of the leaf, which knows nothing of the one before.
package leafset

import (
	"cmp"
	"maps"
	"slices"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/revision"
	"github.com/portgauge/portgauge/internal/rollout"
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
	// Version is that of the leaf's software; empty when it is not told.
	Version string `json:"version,omitempty"`
	// Slots is how many requests the leaf works on at once; 0 when unknown.
	Slots int   `json:"slots,omitempty"`
	State State `json:"state"`
	// WarmupMillis is how much longer the leaf was slow when the record was written.
	WarmupMillis int64 `json:"warmup_millis,omitempty"`
	// Born is when the leaf's process started, in Unix milliseconds by its time of day: it orders the lives of leafs that
	// keep their id. 0 where it is not told.
	Born int64 `json:"born,omitempty"`
	// Sequence orders the records of one life; 0 where it is not told.
	Sequence int64 `json:"sequence,omitempty"`
}

// IsOfEarlierLife reports whether a record was written by a process that another one of the same id came after.
func (r Record) IsOfEarlierLife(other Record) bool { return r.Born > 0 && r.Born < other.Born }

// IsSameLife reports whether two records of an id were written by the same process, as far as they tell.
func (r Record) IsSameLife(other Record) bool { return r.Born == other.Born }

// Compare orders two records of an id by what they say themselves; it is not told where they don't.
func Compare(a, b Record) (order int, isTold bool) {
	if a.IsSameLife(b) {
		return cmp.Compare(a.Sequence, b.Sequence), a.Sequence != b.Sequence
	}
	return cmp.Compare(a.Born, b.Born), a.Born > 0 && b.Born > 0
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
func NewLeaf(record Record, at int64, learned time.Time) *Leaf {
	leaf := &Leaf{Record: record, Revision: at}
	if record.WarmupMillis > 0 {
		leaf.ColdUntil = learned.Add(time.Duration(record.WarmupMillis) * time.Millisecond)
	}
	return leaf
}

// Learn makes a leaf from a record that takes the place of what is known of its id, nil where nothing is. What is read once
// more after a restore of the store, the same write of another epoch, tells nothing new of how cold the leaf is.
func Learn(known *Leaf, record Record, at int64, learned time.Time) *Leaf {
	leaf := NewLeaf(record, at, learned)
	if known != nil && known.Record == record && revision.Count(known.Revision) == revision.Count(at) {
		leaf.ColdUntil = known.ColdUntil
	}
	return leaf
}

// List is many records, as they are written down together.
type List struct {
	Leafs []Record `json:"leafs"`
}

// ParseList reads a list in JSON into a set of the given revision.
func ParseList(content []byte, at int64) (*Set, error) {
	var list List
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, failure.Invalid("leafs", "not a list of leafs: %v", err)
	}
	editor := Empty().Edit()
	for _, record := range list.Leafs {
		editor.Put(&Leaf{Record: record, Revision: at})
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
	// rules say which versions of a service may get requests; services without a rule are left out.
	rules map[string]rollout.Rule
	// first is the version that was there first of each service whose rule doesn't say which serves.
	first map[string]string
	// trial is of byService, those that take work and are of the version on trial.
	trial map[string][]*Leaf
	lost  map[string]lost // by id; leafs that were ready until a moment ago
}

// lost is a leaf that was ready until a moment ago, and since when it is not.
type lost struct {
	leaf *Leaf
	at   time.Time
}

// lostKept is how long a set remembers leafs that were lost.
const lostKept = 15 * time.Second

// Empty gives a set without leafs.
func Empty() *Set {
	return &Set{
		byService: map[string][]*Leaf{}, ready: map[string][]*Leaf{}, byID: map[string]*Leaf{}, evacuated: map[string]bool{},
		rules: map[string]rollout.Rule{}, first: map[string]string{}, trial: map[string][]*Leaf{}, lost: map[string]lost{},
	}
}

// Of gives the leafs of a service. The slice is shared: callers must not change it.
func (s *Set) Of(service string) []*Leaf { return s.byService[service] }

// Ready gives the leafs of a service that take work and are of a version that serves. The slice is shared:
// callers must not change it.
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

// LostSince gives the leafs of a service that ceased to be ready at a time or later, by when that came into
// force here, in no order. What was lost over 15 seconds ago is forgotten.
func (s *Set) LostSince(service string, since time.Time) []*Leaf {
	var leafs []*Leaf
	for _, one := range s.lost {
		if one.leaf.Service == service && !one.at.Before(since) {
			leafs = append(leafs, one.leaf)
		}
	}
	return leafs
}

// LostByID gives a leaf that ceased to be ready at a time or later.
func (s *Set) LostByID(id string, since time.Time) (*Leaf, bool) {
	one, found := s.lost[id]
	if !found || one.at.Before(since) {
		return nil, false
	}
	return one.leaf, true
}

// LostIDs gives the ids of all leafs that ceased to be ready at a time or later, in no order.
func (s *Set) LostIDs(since time.Time) []string {
	var ids []string
	for id, one := range s.lost {
		if !one.at.Before(since) {
			ids = append(ids, id)
		}
	}
	return ids
}

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

// Package leafset holds which leafs there are, as the platform's discovery tells it.
//
// A leaf is one life of a back end: one process of it. A new start mostly has a new name, even at an old address; one that
// keeps its name knows nothing of the life before, and is another leaf. Whatever is kept of a leaf is kept by its id, which
// holds name and life, so that nothing of an earlier life is taken for the later one's.
package leafset

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/failure"
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
	// Name is what the leaf calls itself and its record is kept under. Requests to it name it.
	Name    string `json:"id"`
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
	// keep their name. 0 where it is not told.
	Born int64 `json:"born,omitempty"`
	// Sequence orders the records of one life; 0 where it is not told.
	Sequence int64 `json:"sequence,omitempty"`
}

// IsOfEarlierIncarnation reports whether a record was written by a process that another one of the same name came after.
func (r Record) IsOfEarlierIncarnation(other Record) bool { return r.Born > 0 && r.Born < other.Born }

// Compare orders two records of a name by what they say themselves; it is not told where they don't.
func Compare(a, b Record) (order int, isTold bool) {
	if a.Born == b.Born { // the same process, as far as they tell
		return cmp.Compare(a.Sequence, b.Sequence), a.Sequence != b.Sequence
	}
	return cmp.Compare(a.Born, b.Born), a.Born > 0 && b.Born > 0
}

// Leaf is a record with when and how this node learned of it; immutable.
type Leaf struct {
	// ID names one life of the leaf, as LifeID does.
	ID string
	Record
	// Revision is the store's revision that wrote the record.
	Revision int64
	// ColdUntil is until when the leaf bears few requests, by this node's clock; zero when it is warm. Word
	// of it is as old as the way from the store, so that the leaf is warm a little sooner.
	ColdUntil time.Time
}

// lifeMark is between the name and the start of a leaf in its id.
const lifeMark = "@"

// IncarnationID gives the id of the life of a leaf of a name that was born at a time in Unix milliseconds: the name alone where that
// is 0, for leafs that have a new name at each start.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + lifeMark + strconv.FormatInt(born, 10)
}

// ofName gives what is kept under the name in an id, whichever life it is of: an id without a time is the name, which may
// have the mark in it.
func ofName[V any](byName map[string]V, id string) (value V, found bool) {
	if value, found = byName[id]; found {
		return value, true
	}
	at := strings.LastIndex(id, lifeMark)
	if at <= 0 {
		return value, false
	}
	value, found = byName[id[:at]]
	return value, found
}

// NewLeaf makes a leaf from a record that this node learned of at a time.
func NewLeaf(record Record, at int64, learned time.Time) *Leaf {
	leaf := &Leaf{ID: IncarnationID(record.Name, record.Born), Record: record, Revision: at}
	if record.WarmupMillis > 0 {
		leaf.ColdUntil = learned.Add(time.Duration(record.WarmupMillis) * time.Millisecond)
	}
	return leaf
}

// Learn makes a leaf from a record that takes the place of what is known of its name, nil where nothing is. What is read once
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
		record.WarmupMillis = 0 // how cold it is was true when the list was written
		editor.Put(NewLeaf(record, at, time.Time{}))
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
	checks.Refuse(record.Name == "", "id", "must not be empty")
	checks.Refuse(record.Service == "", "service", "must not be empty")
	checks.Refuse(record.Address == "", "address", "must not be empty")
	checks.Refuse(record.State != Ready && record.State != Draining, "state", "%q; must be %s or %s", record.State, Ready, Draining)
	checks.Refuse(record.Born < 0, "born", "must not be negative")
	return record, checks.Err()
}

// Set is the leafs of all services at one revision; immutable.
type Set struct {
	byService map[string][]*Leaf // each sorted by name
	ready     map[string][]*Leaf // of byService, those that take work; services with all of them left out
	byName    map[string]*Leaf
	evacuated map[string]bool // zones whose leafs must get nothing
	// rules say which versions of a service may get requests; services without a rule are left out.
	rules map[string]rollout.Rule
	// first is the version that was there first of each service whose rule doesn't say which serves.
	first map[string]string
	// trial is of byService, those that take work and are of the version on trial.
	trial map[string][]*Leaf
	lost  map[string]lost // by name; leafs that were ready until a moment ago
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
		byService: map[string][]*Leaf{}, ready: map[string][]*Leaf{}, byName: map[string]*Leaf{}, evacuated: map[string]bool{},
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
	one, found := ofName(s.lost, id)
	if !found || one.leaf.ID != id || one.at.Before(since) {
		return nil, false
	}
	return one.leaf, true
}

// LostIDs gives the ids of all leafs that ceased to be ready at a time or later, in no order.
func (s *Set) LostIDs(since time.Time) []string {
	var ids []string
	for _, one := range s.lost {
		if !one.at.Before(since) {
			ids = append(ids, one.leaf.ID)
		}
	}
	return ids
}

// ByID gives a leaf; false when discovery knows none of that id, or another life of it.
func (s *Set) ByID(id string) (*Leaf, bool) {
	leaf, found := ofName(s.byName, id)
	if !found || leaf.ID != id {
		return nil, false
	}
	return leaf, true
}

// ByName gives the leaf in force of a name, whichever life it is of.
func (s *Set) ByName(name string) (*Leaf, bool) {
	leaf, found := s.byName[name]
	return leaf, found
}

// Len gives the number of leafs.
func (s *Set) Len() int { return len(s.byName) }

// IDs gives the ids of all leafs, in no order.
func (s *Set) IDs() []string {
	ids := make([]string, 0, len(s.byName))
	for _, leaf := range s.byName {
		ids = append(ids, leaf.ID)
	}
	return ids
}

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

// State is whether a leaf accepts requests, by its own record.
type State string

// The states of a leaf.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Record is the discovery record of one leaf.
type Record struct {
	// Name is what the leaf calls itself and the key of its record. Requests to it carry it.
	Name    string `json:"id"`
	Service string `json:"service"`
	// Address is an IP number and port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Version is that of the leaf's software; empty if unknown.
	Version string `json:"version,omitempty"`
	// Slots is how many requests the leaf runs at once; 0 if unknown.
	Slots int   `json:"slots,omitempty"`
	State State `json:"state"`
	// WarmupMillis is how much longer the leaf was cold when the record was written.
	WarmupMillis int64 `json:"warmup_millis,omitempty"`
	// Born is when the leaf's process started, in Unix milliseconds by its wall clock: it orders the incarnations of leafs
	// that keep their name. 0 if unknown.
	Born int64 `json:"born,omitempty"`
	// Sequence orders the records of one incarnation; 0 if unknown.
	Sequence int64 `json:"sequence,omitempty"`
}

// IsOfEarlierIncarnation reports whether the record is of a process that started before that of another record of the
// same name.
func (r Record) IsOfEarlierIncarnation(other Record) bool { return r.Born > 0 && r.Born < other.Born }

// Compare orders two records of a name by their own fields; isKnown is false if those don't order them.
func Compare(a, b Record) (order int, isKnown bool) {
	if a.Born == b.Born { // the same process, as far as known
		return cmp.Compare(a.Sequence, b.Sequence), a.Sequence != b.Sequence
	}
	return cmp.Compare(a.Born, b.Born), a.Born > 0 && b.Born > 0
}

// Leaf is a record as this node received it; immutable.
type Leaf struct {
	// ID identifies one incarnation of the leaf, see IncarnationID.
	ID string
	Record
	// Revision is the store's revision that wrote the record.
	Revision int64
	// ColdUntil is until when the leaf can take few requests only, by this node's clock; zero if it is warm. It is later
	// than the leaf's own time by the delay of the record.
	ColdUntil time.Time
}

// incarnationMark separates name and start in the id of a leaf.
const incarnationMark = "@"

// IncarnationID returns the id of the incarnation of a leaf that started at a time in Unix milliseconds: the name alone if
// that is 0, for leafs that have a new name at each start.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + incarnationMark + strconv.FormatInt(born, 10)
}

// byNameOf returns the value of the name in an id, whichever incarnation it is of: an id without a time is the name, which
// may contain the mark.
func byNameOf[V any](byName map[string]V, id string) (value V, found bool) {
	if value, found = byName[id]; found {
		return value, true
	}
	at := strings.LastIndex(id, incarnationMark)
	if at <= 0 {
		return value, false
	}
	value, found = byName[id[:at]]
	return value, found
}

// NewLeaf returns the leaf of a record of a store revision that this node received at a time.
func NewLeaf(record Record, at int64, received time.Time) *Leaf {
	leaf := &Leaf{ID: IncarnationID(record.Name, record.Born), Record: record, Revision: at}
	if record.WarmupMillis > 0 {
		leaf.ColdUntil = received.Add(time.Duration(record.WarmupMillis) * time.Millisecond)
	}
	return leaf
}

// Learn returns the leaf of a record that replaces the known leaf of its name, nil if there is none. A record that is read
// again after a restore of the store, the same write in another epoch, does not make the leaf cold again.
func Learn(known *Leaf, record Record, at int64, received time.Time) *Leaf {
	leaf := NewLeaf(record, at, received)
	if known != nil && known.Record == record && revision.Count(known.Revision) == revision.Count(at) {
		leaf.ColdUntil = known.ColdUntil
	}
	return leaf
}

// List is the stored form of many records.
type List struct {
	Leafs []Record `json:"leafs"`
}

// ParseList parses a list in JSON into a set of a revision.
func ParseList(content []byte, at int64) (*Set, error) {
	var list List
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, failure.Invalid("leafs", "not a list of leafs: %v", err)
	}
	editor := Empty().Edit()
	for _, record := range list.Leafs {
		record.WarmupMillis = 0 // it was relative to when the list was written
		editor.Put(NewLeaf(record, at, time.Time{}))
	}
	return editor.Done(), nil
}

// Parse parses and validates a record in JSON.
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

// lostRetention is how long a set keeps leafs that were lost: longer than any of its users asks for.
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

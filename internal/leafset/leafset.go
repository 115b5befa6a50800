// Package leafset holds which leafs there are, as the platform's discovery tells it.
//
// A leaf is one incarnation of a back end: a new start has a new id, even at an old address.
package leafset

import (
	"maps"
	"slices"
	"strings"
	"time"

	json "github.com/goccy/go-json"

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
	// rules say which versions of a service may get requests; services without a rule are left out.
	rules map[string]rollout.Rule
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
		rules: map[string]rollout.Rule{}, trial: map[string][]*Leaf{}, lost: map[string]lost{},
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

// OnTrial gives the leafs of a service that take work and are of the version on trial; none where there is no
// roll-out under way. The slice is shared: callers must not change it.
func (s *Set) OnTrial(service string) []*Leaf { return s.trial[service] }

// Rule says which versions of a service may get requests.
func (s *Set) Rule(service string) rollout.Rule { return s.rules[service] }

// IsAllowed reports whether a leaf may be sent requests if it is ready: its zone is not evacuated, and its
// version serves or is on trial.
func (s *Set) IsAllowed(leaf *Leaf) bool {
	rule := s.rules[leaf.Service]
	return !s.evacuated[leaf.Zone] && (rule.IsServing(leaf.Version) || rule.IsTrial(leaf.Version))
}

// isServing reports whether a leaf takes work and is of a version that serves.
func (s *Set) isServing(leaf *Leaf) bool {
	return leaf.State == Ready && !s.evacuated[leaf.Zone] && s.rules[leaf.Service].IsServing(leaf.Version)
}

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

// Editor changes a copy of a set; the original stays as it is.
type Editor struct {
	set   *Set
	owned map[string]bool // services whose slice is the copy's own
	// ruled are services whose rule changed; ownsRules says that the copy has rules and trials of its own.
	ruled     map[string]bool
	ownsRules bool
	// oneVersion says that services without a version that serves are given one.
	oneVersion bool
	// evacuationsChanged says that the ready leafs of every service must be found anew.
	evacuationsChanged bool
	ownsLost           bool
	// before is the set that is changed or replaced.
	before *Set
	// replaced is the set that a whole new one takes the place of; nil for changes of a set.
	replaced *Set
}

// Replace starts a set from nothing that takes the place of another: what it lacks was lost.
func Replace(before *Set) *Editor {
	editor := Empty().Edit()
	editor.set.lost = before.lost
	editor.before, editor.replaced = before, before
	return editor
}

// Edit starts a copy.
func (s *Set) Edit() *Editor {
	copied := &Set{
		byService: maps.Clone(s.byService), ready: maps.Clone(s.ready), byID: maps.Clone(s.byID), evacuated: s.evacuated,
		rules: s.rules, trial: s.trial, lost: s.lost,
	}
	return &Editor{set: copied, owned: map[string]bool{}, ruled: map[string]bool{}, before: s}
}

// Put adds a leaf or replaces the one of its id.
func (e *Editor) Put(leaf *Leaf) {
	known := e.drop(leaf.ID)
	switch {
	case leaf.State == Ready:
		e.forgetLoss(leaf.ID)
	case known != nil && known.State == Ready:
		e.lose(known)
	}
	e.set.byID[leaf.ID] = leaf
	leafs := e.own(leaf.Service)
	at, _ := slices.BinarySearchFunc(leafs, leaf.ID, func(known *Leaf, id string) int { return strings.Compare(known.ID, id) })
	e.set.byService[leaf.Service] = slices.Insert(leafs, at, leaf)
}

// Remove drops the leaf of an id, if there is one.
func (e *Editor) Remove(id string) {
	if known := e.drop(id); known != nil && known.State == Ready {
		e.lose(known)
	}
}

// lose remembers a leaf that was ready until now.
func (e *Editor) lose(known *Leaf) {
	e.ownLost()
	e.set.lost[known.ID] = lost{leaf: known, at: time.Now()}
}

// forgetLoss forgets that a leaf was lost, since it is ready again.
func (e *Editor) forgetLoss(id string) {
	if _, wasLost := e.set.lost[id]; wasLost {
		e.ownLost()
		delete(e.set.lost, id)
	}
}

// ownLost makes the copy's lost leafs its own, without those that were lost long ago.
func (e *Editor) ownLost() {
	if e.ownsLost {
		return
	}
	e.ownsLost = true
	oldest := time.Now().Add(-lostKept)
	e.set.lost = maps.Clone(e.set.lost)
	maps.DeleteFunc(e.set.lost, func(_ string, one lost) bool { return one.at.Before(oldest) })
}

// drop takes the leaf of an id out and gives it; nil when there is none.
func (e *Editor) drop(id string) *Leaf {
	known, found := e.set.byID[id]
	if !found {
		return nil
	}
	delete(e.set.byID, id)
	leafs := slices.DeleteFunc(e.own(known.Service), func(leaf *Leaf) bool { return leaf.ID == id })
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

// SetRule notes which versions of a service may get requests.
func (e *Editor) SetRule(service string, rule rollout.Rule) {
	if e.set.rules[service] == rule {
		return
	}
	e.ownRules()
	e.ruled[service] = true
	if rule == (rollout.Rule{}) {
		delete(e.set.rules, service)
		return
	}
	e.set.rules[service] = rule
}

// ServeOneVersion has services whose leafs are of several versions, and for which no rule says which serves,
// be served by one: that of the leafs that were there first, or, where all come at once, of most.
func (e *Editor) ServeOneVersion() { e.oneVersion = true }

// chooseServing gives a service with leafs of several versions a version that serves, if it has none.
func (e *Editor) chooseServing(service string, leafs []*Leaf) {
	rule := e.set.rules[service]
	if !e.oneVersion || rule.Serving != "" {
		return
	}
	counts := map[string]int{}
	for _, leaf := range leafs {
		if leaf.Version != "" && !rule.IsTrial(leaf.Version) {
			counts[leaf.Version]++
		}
	}
	if len(counts) < 2 {
		return
	}
	for _, known := range e.before.byService[service] {
		if counts[known.Version] > 0 {
			counts[known.Version] += len(leafs)
		}
	}
	e.ownRules()
	rule.Serving = mostCounted(counts)
	e.set.rules[service] = rule
}

// mostCounted gives the version that was counted most; of several, the first by name.
func mostCounted(counts map[string]int) string {
	best := ""
	for version, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// ownRules makes the copy's rules, and the leafs on trial that follow from them, its own.
func (e *Editor) ownRules() {
	if e.ownsRules {
		return
	}
	e.ownsRules = true
	e.set.rules = maps.Clone(e.set.rules)
	e.set.trial = maps.Clone(e.set.trial)
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
	for id, before := range e.replaced.byID {
		now, found := e.set.byID[id]
		if before.State == Ready && (!found || now.State != Ready) {
			e.lose(before)
		}
	}
}

// findReady finds which leafs of a service take work, and which of those are on trial.
func (e *Editor) findReady(service string) {
	leafs := e.set.byService[service]
	e.chooseServing(service, leafs)
	e.findOnTrial(service, leafs)
	isUnusable := func(leaf *Leaf) bool { return !e.set.isServing(leaf) }
	if !slices.ContainsFunc(leafs, isUnusable) {
		delete(e.set.ready, service)
		return
	}
	e.set.ready[service] = slices.DeleteFunc(slices.Clone(leafs), isUnusable)
}

// findOnTrial finds which leafs of a service are on trial.
func (e *Editor) findOnTrial(service string, leafs []*Leaf) {
	rule := e.set.rules[service]
	var trial []*Leaf
	for _, leaf := range leafs {
		if leaf.State == Ready && !e.set.evacuated[leaf.Zone] && rule.IsTrial(leaf.Version) {
			trial = append(trial, leaf)
		}
	}
	if len(trial) == 0 && len(e.set.trial[service]) == 0 {
		return
	}
	e.ownRules()
	e.set.trial[service] = trial
}

func (e *Editor) own(service string) []*Leaf {
	if !e.owned[service] {
		e.owned[service] = true
		e.set.byService[service] = slices.Clone(e.set.byService[service])
	}
	return e.set.byService[service]
}

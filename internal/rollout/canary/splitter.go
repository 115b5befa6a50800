package canary

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/rollout"
)

// Versions names versions of a service that may be asked.
type Versions int

// The versions.
const (
	// Serving is the version that serves.
	Serving Versions = iota
	// Trial is the version on trial.
	Trial
	// Both are the version that serves and the one on trial.
	Both
)

// Request is one whose first attempt is about to be made.
type Request struct {
	Service string
	// Once says that it must run once at most.
	Once bool
	// Unserved says that no leaf of the version that serves can be asked for it, or only leafs in trouble. Since it may
	// reach the service only if it is drawn, it earns the version on trial no share.
	Unserved bool
}

// Draw says which version the first attempt of a request goes to.
type Draw struct {
	// First is Serving or Trial.
	First Versions
	// IsBounded says that the attempt was drawn from the bounded share: it goes to the first usable leaf by Focus.
	IsBounded bool
	// order is that of a bounded draw.
	order int64
}

// Fleet gives what a node must know of the others; registry.Census is the real one.
type Fleet interface {
	// Part is this node's part of a bound that all nodes share on requests that are gathered, or are not.
	Part(gathered bool) float64
	// IsRegistered reports whether the other nodes know of this one.
	IsRegistered() bool
}

// Splitter splits one node's requests between the versions of services; safe for concurrent use.
type Splitter struct {
	config  Config
	catalog *catalog.Catalog
	fleet   Fleet
	now     func() time.Time
	random  func() float64
	flights flights

	mu sync.Mutex
	// first is the revision of the first state that was seen; 0 while there is none.
	first  int64
	trials map[string]*trial // by service
	// holds are the newest orders held, by service; an order before it was replaced.
	holds map[string]int64
	// heldAt is the revision at which the holds were looked at last; 0 before the first state.
	heldAt int64
}

// New makes the splitter of a node.
func New(cfg Config, known *catalog.Catalog, fleet Fleet) *Splitter {
	s := &Splitter{
		config: cfg, catalog: known, fleet: fleet, now: time.Now, random: rand.Float64,
		trials: map[string]*trial{}, holds: map[string]int64{},
	}
	s.Refresh()
	return s
}

// SetClock has orders, ramps and freshness measured by a clock, which must be that of the catalog: a machine that was
// suspended would go on by a rule that it holds for fresh. It must be called before the catalog has any state.
func (s *Splitter) SetClock(clock boottime.Clock) { s.now = clock.Now }

// Refresh notes the orders in force, whose durations begin for this node when it learns of them. It is to be called
// whenever the configuration has changed.
func (s *Splitter) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	s.dropHolds()
	for service := range s.trials {
		if view.Leafs.Rule(service).Order != s.trials[service].order {
			delete(s.trials, service)
		}
	}
	for service := range view.Rollouts {
		if rule := view.Leafs.Rule(service); rule.Trial != "" {
			s.trial(view, service, rule)
		}
	}
}

// Draw counts a request and draws which version its first attempt goes to. Whatever is drawn for the version on trial
// counts as sent there.
func (s *Splitter) Draw(request Request) Draw {
	service, once := request.Service, request.Once
	if s.catalog.View().Leafs.Rule(service).Trial == "" {
		return Draw{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	rule := view.Leafs.Rule(service)
	if rule.Trial == "" {
		return Draw{}
	}
	known, now := s.trial(view, service, rule), s.now()
	known.hasOnce = known.hasOnce || once
	if !request.Unserved {
		known.requests++
	}
	switch s.stage(service, rule, known, now) {
	case moved:
		known.count(once, 1)
		return Draw{First: Trial}
	case ramping:
		if len(view.Leafs.OnTrial(service)) > 0 && s.random() < s.ramp(known, now) {
			known.count(once, 1)
			return Draw{First: Trial}
		}
	case bounded:
		s.lowerPart(view, service, known)
		if len(view.Leafs.OnTrial(service)) > 0 && known.hasRoom(s.config, once, now) {
			known.count(once, 1)
			return Draw{First: Trial, IsBounded: true, order: rule.Order}
		}
	case stopped:
	}
	return Draw{}
}

// Refund takes back a draw from the bounded share by which nothing was sent. The request itself stays counted.
func (s *Splitter) Refund(request Request, draw Draw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, found := s.trials[request.Service]; found && draw.IsBounded && known.order == draw.order {
		known.count(request.Once, -1)
	}
}

// FocusOrder gives leafs of the version on trial, sorted by id, in the order in which draws from the bounded share try
// them: at a time all nodes have the same leaf first.
func (s *Splitter) FocusOrder(service string, leafs []*leafset.Leaf) []*leafset.Leaf {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.trials[service]
	if !found {
		return leafs
	}
	return known.focus(leafs, s.now())
}

// RetryVersions gives the versions that attempts after the first, or without a draw, may go to now.
func (s *Splitter) RetryVersions(service string) Versions {
	switch s.stageNow(service) {
	case ramping:
		return Both
	case moved:
		return Trial
	case stopped, bounded:
	}
	return Serving
}

// IsTrialOpen reports whether the version on trial may get anything now.
func (s *Splitter) IsTrialOpen(service string) bool { return s.stageNow(service) != stopped }

// MayAsk reports whether a leaf may be sent a request now, by its version: what was planned a while ago may not be
// sent any more. A leaf that nothing is known of may not.
func (s *Splitter) MayAsk(leafID string) bool {
	view := s.catalog.View()
	leaf, found := find(view, leafID)
	if !found {
		return false
	}
	rule := view.Leafs.Rule(leaf.Service)
	if rule.Trial == "" {
		return rule.IsServing(leaf.Version)
	}
	if rule.IsTrial(leaf.Version) {
		return s.IsTrialOpen(leaf.Service)
	}
	return rule.IsServing(leaf.Version) && s.stageNow(leaf.Service) != moved
}

// find gives a leaf that is known, or was a moment ago.
func find(view *catalog.View, id string) (*leafset.Leaf, bool) {
	if leaf, found := view.Leafs.ByID(id); found {
		return leaf, true
	}
	if leaf, found := view.Leafs.LostByID(id, time.Time{}); found {
		return leaf, true
	}
	return view.Remembered.ByID(id)
}

// view gives the configuration in force. The lock must be held, so that no older one is looked at after a newer.
func (s *Splitter) view() *catalog.View {
	view := s.catalog.View()
	if s.first == 0 {
		s.first = view.Revision
	}
	return view
}

// trial gives what is kept of the order in force for a service. The lock must be held.
func (s *Splitter) trial(view *catalog.View, service string, rule rollout.Rule) *trial {
	known, found := s.trials[service]
	if !found || known.order != rule.Order {
		known = s.newTrial(view, service, rule)
		s.trials[service] = known
	}
	if rule.Phase == rollout.Switching && known.switched.IsZero() {
		known.switched = s.now()
	}
	return known
}

// newTrial begins what is kept of an order. A node that found the order in force at its start does not know what its
// predecessor spent of the slack, and has none. Without slack the bound leaves no room for a random start either.
func (s *Splitter) newTrial(view *catalog.View, service string, rule rollout.Rule) *trial {
	begun := &trial{order: rule.Order, learned: s.now(), duration: time.Nanosecond}
	if order := view.Rollouts[service].Order; order != nil {
		begun.duration = order.Duration()
	}
	if s.config.Slack > 0 && rule.Order > revision.Count(s.first) && s.fleet.IsRegistered() {
		begun.part, begun.start = s.part(view, service), s.random()
	}
	return begun
}

// lowerPart follows a fleet that has grown. While the others don't know of this node it has no part to compare.
func (s *Splitter) lowerPart(view *catalog.View, service string, known *trial) {
	if known.part > 0 && s.fleet.IsRegistered() {
		known.part = min(known.part, s.part(view, service))
	}
}

// part gives this node's part of the slack of a service, which goes by whether any route gathers it.
func (s *Splitter) part(view *catalog.View, service string) float64 {
	return s.fleet.Part(view.Routes != nil && view.Routes.IsGathered(service))
}

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

// Versions selects versions of a service.
type Versions int

// The versions.
const (
	// Serving is the version that serves.
	Serving Versions = iota
	// Target is the canary version.
	Target
	// Both are the version that serves and the canary.
	Both
)

// Request is a request whose first attempt is about to be made.
type Request struct {
	Service string
	// Once says that the request must run at most once.
	Once bool
	// Unserved says that no healthy leaf of the serving version can take the request. It reaches the service only if it
	// is drawn for the canary version, so it does not increase that version's share.
	Unserved bool
}

// Decision is the decision where the first attempt of a request goes.
type Decision struct {
	// First is Serving or Target.
	First Versions
	// IsBounded says that the attempt uses the bounded share: it goes to the first usable leaf by FocusOrder.
	IsBounded bool
	// spec is the spec of a bounded decision.
	specID int64
}

// Fleet is what a node must know of the others; registry.Fleet is the real one.
type Fleet interface {
	// Share returns this node's share, 0 to 1, of a bound that all nodes share, for requests that are gathered or not.
	Share(gathered bool) float64
	// IsRegistered reports whether the other nodes know this one.
	IsRegistered() bool
}

// Splitter splits the requests of one node between the versions of services. It is safe for concurrent use.
type Splitter struct {
	cfg      Config
	catalog  *catalog.Catalog
	fleet    Fleet
	now      func() time.Time
	random   func() float64
	inFlight inFlight

	mu sync.Mutex
	// startRevision is the revision of the first configuration seen; 0 before it.
	startRevision int64
	budgets       map[string]*budget // by service
	// aborts are the highest specs that were stopped, by service; a spec below it was replaced.
	aborts map[string]int64
	// abortsRevision is the revision at which old aborts were last dropped; 0 before the first configuration.
	abortsRevision int64
}

// New returns the splitter of a node.
func New(cfg Config, known *catalog.Catalog, fleet Fleet) *Splitter {
	s := &Splitter{
		cfg: cfg, catalog: known, fleet: fleet, now: time.Now, random: rand.Float64,
		budgets: map[string]*budget{}, aborts: map[string]int64{},
	}
	s.Refresh()
	return s
}

// SetClock sets the clock by which specs, ramps and the age of the configuration are measured. It must be the
// catalog's: by another a machine that was suspended would trust an old rule. It must be called before the catalog
// has any state.
func (s *Splitter) SetClock(clock boottime.Clock) { s.now = clock.Now }

// Refresh picks up the specs in force, whose durations begin for this node when it learns of them. It is to be
// called whenever the configuration has changed.
func (s *Splitter) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	s.dropOldAborts()
	for service := range s.budgets {
		if view.Leafs.Rule(service).SpecID != s.budgets[service].specID {
			delete(s.budgets, service)
		}
	}
	for service := range view.Rollouts {
		if rule := view.Leafs.Rule(service); rule.Canary != "" {
			s.budget(view, service, rule)
		}
	}
}

// Decide decides which version the first attempt of a request goes to, and counts the request.
//
// Before a version is found good, it gets the request if it has a leaf and the budget has room. During the
// ramp it gets the request with a probability that rises from Share to 1; after it, always. A drawn request counts as
// sent.
func (s *Splitter) Decide(request Request) Decision {
	service := request.Service
	if s.catalog.View().Leafs.Rule(service).Canary == "" {
		return Decision{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	rule := view.Leafs.Rule(service)
	if rule.Canary == "" {
		return Decision{}
	}
	budget, now := s.budget(view, service, rule), s.now()
	budget.hasOnce = budget.hasOnce || request.Once
	if !request.Unserved {
		budget.requests++
	}
	stage := s.stage(service, rule, budget, now)
	if !s.isForCanary(view, request, stage, budget, now) {
		return Decision{}
	}
	budget.count(request.Once, 1)
	if stage == bounded {
		return Decision{First: Target, IsBounded: true, specID: rule.SpecID}
	}
	return Decision{First: Target}
}

// isForCanary decides whether the first attempt of a request goes to the canary version. The lock must be held.
func (s *Splitter) isForCanary(view *catalog.View, request Request, stage stage, budget *budget, now time.Time) bool {
	switch stage {
	case moved:
		return true
	case ramping:
		return len(view.Leafs.Canaries(request.Service)) > 0 && s.random() < s.ramp(budget, now)
	case bounded:
		s.lowerFleetShare(view, request.Service, budget)
		return len(view.Leafs.Canaries(request.Service)) > 0 && budget.hasRoom(s.cfg, request.Once, now)
	case stopped:
	}
	return false
}

// Refund takes back a bounded decision by which nothing was sent. The request itself stays counted.
func (s *Splitter) Refund(request Request, decision Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if budget, found := s.budgets[request.Service]; found && decision.IsBounded && budget.specID == decision.specID {
		budget.count(request.Once, -1)
	}
}

// FocusOrder returns leafs of the canary version, sorted by id, in the order in which bounded decisions try them. At
// any time all nodes try the same leaf first, so that single leafs get the load of full service.
func (s *Splitter) FocusOrder(service string, leafs []*leafset.Leaf) []*leafset.Leaf {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget, found := s.budgets[service]
	if !found {
		return leafs
	}
	return budget.focusOrder(leafs, s.now())
}

// RetryVersions returns the versions that attempts after the first, or without a decision, may go to now. Before the ramp
// that is the serving version only.
func (s *Splitter) RetryVersions(service string) Versions {
	switch s.stageNow(service) {
	case ramping:
		return Both
	case moved:
		return Target
	case stopped, bounded:
	}
	return Serving
}

// IsCanaryOpen reports whether the canary version may get any request now.
func (s *Splitter) IsCanaryOpen(service string) bool { return s.stageNow(service) != stopped }

// MaySend reports whether a leaf may be sent a request now, by its version. Attempts planned earlier are checked by it
// again just before they are sent. An unknown leaf may not.
func (s *Splitter) MaySend(leafID string) bool {
	view := s.catalog.View()
	leaf, found := find(view, leafID)
	if !found {
		return false
	}
	rule := view.Leafs.Rule(leaf.Service)
	if rule.Canary == "" {
		return rule.IsServing(leaf.Version)
	}
	if rule.IsCanary(leaf.Version) {
		return s.IsCanaryOpen(leaf.Service)
	}
	return rule.IsServing(leaf.Version) && s.stageNow(leaf.Service) != moved
}

// find returns a leaf that is known, or was until a moment ago.
func find(view *catalog.View, id string) (*leafset.Leaf, bool) {
	if leaf, found := view.Leafs.ByID(id); found {
		return leaf, true
	}
	if leaf, found := view.Leafs.LostByID(id, time.Time{}); found {
		return leaf, true
	}
	return view.Remembered.ByID(id)
}

// view returns the configuration in force. The lock must be held, so that no older one is used after a newer.
func (s *Splitter) view() *catalog.View {
	view := s.catalog.View()
	if s.startRevision == 0 {
		s.startRevision = view.Revision
	}
	return view
}

// budget returns the budget of the spec in force for a service. The lock must be held.
func (s *Splitter) budget(view *catalog.View, service string, rule rollout.Rule) *budget {
	budget, found := s.budgets[service]
	if !found || budget.specID != rule.SpecID {
		budget = s.newBudget(view, service, rule)
		s.budgets[service] = budget
	}
	if rule.Phase == rollout.Switching && budget.switchedAt.IsZero() {
		budget.switchedAt = s.now()
	}
	return budget
}

// newBudget returns the budget of a spec that this node learns of. A node that found the spec in force when it
// started does not know what its earlier process spent of the slack, and gets none. Without slack there is no random
// start either.
func (s *Splitter) newBudget(view *catalog.View, service string, rule rollout.Rule) *budget {
	begun := &budget{specID: rule.SpecID, learnedAt: s.now(), duration: time.Nanosecond}
	if spec := view.Rollouts[service].Spec; spec != nil {
		begun.duration = spec.Duration()
	}
	if s.cfg.Slack > 0 && rule.SpecID > revision.Count(s.startRevision) && s.fleet.IsRegistered() {
		begun.fleetShare, begun.start = s.fleetShare(view, service), s.random()
	}
	return begun
}

// lowerFleetShare lowers the node's share of the slack when the fleet grows. While the others don't know this node it
// has no share to compare with.
func (s *Splitter) lowerFleetShare(view *catalog.View, service string, budget *budget) {
	if budget.fleetShare > 0 && s.fleet.IsRegistered() {
		budget.fleetShare = min(budget.fleetShare, s.fleetShare(view, service))
	}
}

// fleetShare returns this node's share of the slack of a service, which depends on whether any route gathers it.
func (s *Splitter) fleetShare(view *catalog.View, service string) float64 {
	return s.fleet.Share(view.Routes != nil && view.Routes.IsGathered(service))
}

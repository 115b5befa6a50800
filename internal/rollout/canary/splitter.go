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

// Role selects versions of a service by their role in a rollout.
type Role int

const (
	// Serving selects the serving version.
	Serving Role = iota
	// Canary selects the canary version.
	Canary
	// Both selects the serving and the canary version.
	Both
)

// Request is a request before its first attempt.
type Request struct {
	Service string
	// Once means that the request must run at most once.
	Once bool
	// Unserved means that no healthy leaf of the serving version can take the request. Such a request is served only if
	// it is sent to the canary version, so it does not increase that version's share.
	Unserved bool
}

// Decision selects the version for the first attempt of a request.
type Decision struct {
	// First is Serving or Canary.
	First Role
	// IsBounded means that the attempt counts against the bounded share. It goes to the first usable leaf in
	// FocusOrder.
	IsBounded bool
	// specID is the ID of the spec of a bounded decision.
	specID int64
}

// Fleet describes the registered nodes. It is implemented by registry.Fleet.
type Fleet interface {
	// Share returns this node's share, 0 to 1, of a bound that is common to all nodes. gathered means that the bound is
	// on a gathered service.
	Share(gathered bool) float64
	// IsRegistered reports whether this node is registered.
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
	// startRevision is the revision of the first configuration, 0 before it.
	startRevision int64
	budgets       map[string]*budget // by service
	// aborts are the highest IDs of aborted specs, by service. Specs with lower IDs have been replaced.
	aborts map[string]int64
	// abortsRevision is the revision at which old aborts were last dropped, 0 before the first configuration.
	abortsRevision int64
}

func New(cfg Config, nodeCatalog *catalog.Catalog, fleet Fleet) *Splitter {
	s := &Splitter{
		cfg: cfg, catalog: nodeCatalog, fleet: fleet, now: time.Now, random: rand.Float64,
		budgets: map[string]*budget{}, aborts: map[string]int64{},
	}
	s.Refresh()
	return s
}

// SetClock sets the clock that measures specs, ramps and the age of the configuration. It must be the catalog's clock:
// with another one, a machine that was suspended would rely on an outdated rule. SetClock must be called before the
// catalog has any state.
func (s *Splitter) SetClock(clock boottime.Clock) { s.now = clock.Now }

// Refresh loads the specs in force. For this node the duration of a spec begins when Refresh first finds it. Refresh
// must be called after each change of the configuration.
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

// Decide selects the version that the first attempt of a request goes to, and counts the request. Until the canary has
// passed evaluation, it receives the request if it has a leaf and the budget has room. During the ramp it receives the
// request with a probability that rises from Share to 1, and afterwards always. A request that is decided for the
// canary counts as sent.
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
		return Decision{First: Canary, IsBounded: true, specID: rule.SpecID}
	}
	return Decision{First: Canary}
}

// isForCanary reports whether the first attempt of a request goes to the canary version. s.mu must be held.
func (s *Splitter) isForCanary(view *catalog.View, request Request, stage stage, budget *budget, now time.Time) bool {
	switch stage {
	case moved:
		return true
	case ramping:
		return len(view.Leafs.CanaryLeafs(request.Service)) > 0 && s.random() < s.ramp(budget, now)
	case bounded:
		s.lowerFleetShare(view, request.Service, budget)
		return len(view.Leafs.CanaryLeafs(request.Service)) > 0 && budget.hasRoom(s.cfg, request.Once, now)
	case stopped:
	}
	return false
}

// Refund returns a bounded decision to the budget if the attempt was not sent. The request itself stays counted.
func (s *Splitter) Refund(request Request, decision Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if budget, found := s.budgets[request.Service]; found && decision.IsBounded && budget.specID == decision.specID {
		budget.count(request.Once, -1)
	}
}

// FocusOrder returns leafs of the canary version, sorted by ID, in the order in which bounded decisions try them. At
// any time all nodes try the same leaf first, so that this leaf receives the load of full service.
func (s *Splitter) FocusOrder(service string, leafs []*leafset.Leaf) []*leafset.Leaf {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget, found := s.budgets[service]
	if !found {
		return leafs
	}
	return budget.focusOrder(leafs, s.now())
}

// RetryRole returns the versions that retries, and attempts without a decision, may go to now. Before the ramp that
// is only the serving version.
func (s *Splitter) RetryRole(service string) Role {
	switch s.stageNow(service) {
	case ramping:
		return Both
	case moved:
		return Canary
	case stopped, bounded:
	}
	return Serving
}

// IsCanaryOpen reports whether the canary version may receive requests now.
func (s *Splitter) IsCanaryOpen(service string) bool { return s.stageNow(service) != stopped }

// MaySend reports whether the version of a leaf may receive requests now. Each attempt is checked again immediately
// before it is sent. MaySend returns false for an unknown leaf.
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

// find returns a registered or lost leaf, or one on the stored list.
func find(view *catalog.View, id string) (*leafset.Leaf, bool) {
	if leaf, found := view.Leafs.ByID(id); found {
		return leaf, true
	}
	if leaf, found := view.Leafs.LostByID(id, time.Time{}); found {
		return leaf, true
	}
	return view.StoredLeafs.ByID(id)
}

// view returns the configuration in force. s.mu must be held, so that no older configuration is used after a newer one.
func (s *Splitter) view() *catalog.View {
	view := s.catalog.View()
	if s.startRevision == 0 {
		s.startRevision = view.Revision
	}
	return view
}

// budget returns the budget of the spec in force for a service, and creates it if necessary. s.mu must be held.
func (s *Splitter) budget(view *catalog.View, service string, rule rollout.Rule) *budget {
	budget, found := s.budgets[service]
	if !found || budget.specID != rule.SpecID {
		budget = s.newBudget(view, service, rule)
		s.budgets[service] = budget
	}
	if rule.Phase == rollout.PhaseSwitching && budget.switchedAt.IsZero() {
		budget.switchedAt = s.now()
	}
	return budget
}

// newBudget returns the budget of a spec. It has no slack and no initial credit if the spec was in force when this node
// started, because its earlier process may have spent them, if the node is not registered, or if Config.Slack is 0.
func (s *Splitter) newBudget(view *catalog.View, service string, rule rollout.Rule) *budget {
	created := &budget{specID: rule.SpecID, learnedAt: s.now(), duration: time.Nanosecond}
	if spec := view.Rollouts[service].Spec; spec != nil {
		created.duration = spec.Duration()
	}
	if s.cfg.Slack > 0 && rule.SpecID > revision.Count(s.startRevision) && s.fleet.IsRegistered() {
		created.fleetShare, created.start = s.fleetShare(view, service), s.random()
	}
	return created
}

// lowerFleetShare lowers the node's share of the slack when the fleet grows. The share stays the same while the node is
// not registered.
func (s *Splitter) lowerFleetShare(view *catalog.View, service string, budget *budget) {
	if budget.fleetShare > 0 && s.fleet.IsRegistered() {
		budget.fleetShare = min(budget.fleetShare, s.fleetShare(view, service))
	}
}

// fleetShare returns this node's share of the slack of a service. It depends on whether any route gathers the service.
func (s *Splitter) fleetShare(view *catalog.View, service string) float64 {
	return s.fleet.Share(view.Routes != nil && view.Routes.IsGathered(service))
}

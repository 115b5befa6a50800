// Package rolloutcontrol executes rollouts: it reports the counts of each node to the evaluator nodes of a service,
// evaluates canary versions, and writes the phase of each rollout to the store.
//
// Every node runs a Controller. The evaluator nodes of a service are the first registered nodes by rendezvous hash.
// Correctness does not depend on nodes agreeing on this set. Any evaluator node may write, and the store accepts a
// write only if it replaces the state that the writer has in force and if the spec is unchanged. If evaluator nodes
// disagree, the first write wins and later ones have no effect. A version that fails evaluation is stopped immediately
// by abort messages between nodes, whether or not the store accepts the write.
//
// The package owns the counts of all nodes at an evaluator node, the aborts, and the goroutines of Run with its writes
// and fleet queries. It depends on the catalog for specs, states and registered nodes, on datagrams for reports and
// aborts, on conditional writes of the store, and on a clock that includes suspensions of the machine.
package rolloutcontrol

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Splitter splits this node's requests between versions. It is implemented by canary.Splitter.
type Splitter interface {
	// Abort permanently stops the canary of a spec at this node.
	Abort(service string, specID int64)
	// SettledRevision returns the revision up to which the node is settled: it sends no requests under older rules.
	SettledRevision() int64
	// Ramp returns how long the nodes take to move the requests of a spec with the given duration.
	Ramp(duration time.Duration) time.Duration
}

// Fleet queries the other nodes.
type Fleet interface {
	// Settled queries all nodes for the revisions up to which they are settled. Nodes that don't answer before the
	// context is done are not counted.
	Settled(ctx context.Context, revision int64) FleetStatus
}

// Deps are the dependencies of a Controller.
type Deps struct {
	Config       Config
	Catalog      *catalog.Catalog
	Self         catalog.NodeRecord
	Counts       Counts
	Splitter     Splitter
	NewEvaluator EvaluatorFactory
	States       StateWriter
	Fleet        Fleet
	Sender       Sender
	Events       EventLog
	// Clock includes suspensions of the machine, because a spec's duration continues meanwhile.
	Clock boottime.Clock
}

// Controller executes rollouts at one node. Run must be called. The other methods are safe for concurrent use.
type Controller struct {
	deps     Deps
	cfg      Config
	tallies  tallies
	aborts   aborts
	reporter *reporter

	// The fields up to running are accessed only by the goroutine of Run.
	evaluatorNodes  evaluatorNodeSet
	rollouts        map[string]*activeRollout
	schedules       map[string]*writeSchedule
	hasStarted      bool // the first configuration has been handled
	steppedAt       boottime.Instant
	evaluateAfter   time.Time // after a suspension reports may be unread until then
	reportedAt      time.Time
	queriedAt       time.Time
	answerQueriedAt time.Time // when the query of the newest answer was sent
	fleetQueries    int       // in flight
	writes          int       // in flight
	writeResults    chan writeResult
	fleetAnswers    chan fleetAnswer
	running         sync.WaitGroup

	statuses statusSnapshot
}

// writeResult is the outcome of a write.
type writeResult struct {
	schedule *writeSchedule
	event    PhaseWriteEvent
}

// maxWrites bounds the writes of one node in flight, so that many simultaneous specs do not overload the store.
const maxWrites = 8

// changeBacklog is the buffer size of the subscription to configuration changes. Changes beyond it are handled by the
// next periodic step.
const changeBacklog = 64

func New(deps Deps) *Controller {
	c := &Controller{
		deps: deps, cfg: deps.Config, evaluatorNodes: evaluatorNodeSet{max: deps.Config.EvaluatorNodes},
		rollouts: map[string]*activeRollout{}, schedules: map[string]*writeSchedule{},
		writeResults: make(chan writeResult), fleetAnswers: make(chan fleetAnswer),
	}
	c.reporter = newReporter(deps, c.addOwnRows, c.ownRowsDropped)
	return c
}

// Run executes rollouts until the context is done. It returns after its goroutines have ended.
func (c *Controller) Run(ctx context.Context) {
	changes, stop := c.deps.Catalog.Subscribe(changeBacklog)
	defer stop()
	defer c.running.Wait()
	c.steppedAt = c.deps.Clock.Instant()
	for {
		timer := time.NewTimer(c.step(ctx, c.deps.Clock.Now()))
		isDone := c.await(ctx, timer, changes)
		timer.Stop()
		if isDone {
			return
		}
	}
}

// await blocks until the next step is due, and reports whether the context is done.
func (c *Controller) await(ctx context.Context, timer *time.Timer, changes <-chan catalog.Change) bool {
	for {
		select {
		case <-timer.C:
			return false
		case change := <-changes:
			if concernsRollouts(change) {
				return false
			}
		case result := <-c.writeResults:
			c.writeDone(c.deps.Clock.Now(), result)
			return false
		case answer := <-c.fleetAnswers:
			c.handleAnswer(answer)
			return false
		case <-ctx.Done():
			return true
		}
	}
}

// concernsRollouts reports whether a change contains a spec or a state.
func concernsRollouts(change catalog.Change) bool {
	for _, entry := range change.Entries() {
		if strings.HasPrefix(entry.Key, catalog.RolloutKey("")) || strings.HasPrefix(entry.Key, catalog.RolloutStateKey("")) {
			return true
		}
	}
	return false
}

// resumeIntervals is the number of report intervals during which an evaluator node only collects reports after its
// machine resumed. All nodes report within one interval; the second covers delivery and late ticks.
const resumeIntervals = 2

// mustWaitForReports reports whether the machine resumed so recently that reports and aborts sent during the suspension
// may still be unread. Without the wait an evaluator node could pass a version on counts from before it turned bad.
func (c *Controller) mustWaitForReports(now time.Time) bool {
	if c.steppedAt.Suspended() > 0 {
		c.evaluateAfter = now.Add(resumeIntervals * c.cfg.ReportInterval)
	}
	c.steppedAt = c.deps.Clock.Instant()
	return now.Before(c.evaluateAfter)
}

// step handles all rollouts once and returns the maximum time until the next step.
func (c *Controller) step(ctx context.Context, now time.Time) time.Duration {
	mustWaitForReports := c.mustWaitForReports(now)
	view := c.deps.Catalog.View()
	if view.Revision == 0 {
		return c.cfg.ReportInterval
	}
	c.refreshRollouts(now, view)
	c.report(now, view)
	next := c.cfg.ReportInterval
	if mustWaitForReports {
		return min(next, c.evaluateAfter.Sub(now))
	}
	for service, stored := range view.Rollouts {
		if pause := c.follow(ctx, now, view, service, stored); pause > 0 {
			next = min(next, pause)
		}
	}
	if pause := c.queryFleet(ctx, now, view); pause > 0 {
		next = min(next, pause)
	}
	c.statuses.set(c.rollouts)
	return next
}

// refreshRollouts adds or updates the active rollouts, and drops those that have ended.
func (c *Controller) refreshRollouts(now time.Time, view *catalog.View) {
	for service, stored := range view.Rollouts {
		if isActive(stored) {
			c.refreshRollout(now, view, service, stored)
		}
	}
	for service, active := range c.rollouts {
		stored := view.Rollouts[service]
		if isActive(stored) && stored.Spec.ID() == active.spec.ID() {
			continue
		}
		if hasStateOfSpec(stored) && (active.state == nil || active.state.Revision != stored.State.Revision) {
			c.deps.Events.PhaseLearned(*stored.State)
		}
		delete(c.rollouts, service)
	}
	maps.DeleteFunc(c.schedules, func(service string, _ *writeSchedule) bool { return view.Rollouts[service] == (catalog.Rollout{}) })
	isWanted := func(id specKey) bool { return c.isWanted(view, id) }
	c.tallies.retain(isWanted)
	c.aborts.retain(isWanted)
	c.hasStarted = true
}

// refreshRollout adds or updates the active rollout of a service.
func (c *Controller) refreshRollout(now time.Time, view *catalog.View, service string, stored catalog.Rollout) {
	active := c.rollouts[service]
	if active == nil || active.spec.ID() != stored.Spec.ID() {
		active = &activeRollout{spec: *stored.Spec, learnedAt: now, knownAtStart: !c.hasStarted}
		c.rollouts[service] = active
		if c.aborts.has(specKey{service, stored.Spec.ID()}) {
			c.deps.Splitter.Abort(service, stored.Spec.ID()) // the abort arrived before the spec
		}
		c.deps.Events.SpecSeen(SpecEvent{Spec: *stored.Spec, Rank: c.rank(view, service)})
	}
	active.spec = *stored.Spec // its revision changes after a restore of the store
	before := active.state
	active.refresh(now, view)
	if state := active.state; state != nil && (before == nil || before.Revision != state.Revision) {
		c.deps.Events.PhaseLearned(*state)
	}
}

// hasStateOfSpec reports whether the stored state belongs to the spec.
func hasStateOfSpec(stored catalog.Rollout) bool {
	return stored.State != nil && stored.State.BelongsTo(stored.Spec)
}

// isActive reports whether a service has a spec without a final state.
func isActive(stored catalog.Rollout) bool {
	return stored.Spec != nil && !(hasStateOfSpec(stored) && stored.State.Phase.IsFinal())
}

// isWanted reports whether counts and aborts of a spec are needed: the spec is active, or this node has not learned of
// it yet.
func (c *Controller) isWanted(view *catalog.View, id specKey) bool {
	if id.specID > revision.Count(view.Revision) {
		return true
	}
	stored := view.Rollouts[id.service]
	return isActive(stored) && stored.Spec.ID() == id.specID
}

func (c *Controller) rank(view *catalog.View, service string) int {
	return rankOf(c.evaluatorNodes.of(view, service), c.deps.Self.ID)
}

// report sends this node's counts to the evaluator nodes once per report interval.
func (c *Controller) report(now time.Time, view *catalog.View) {
	if now.Sub(c.reportedAt) < c.cfg.ReportInterval {
		return
	}
	c.reportedAt = now
	evaluatorNodes := func(service string) []catalog.NodeRecord { return c.evaluatorNodes.of(view, service) }
	c.reporter.step(now, evaluatorNodes, func(id specKey) bool { return c.isWanted(view, id) })
}

// Statuses returns the active rollouts that this node has learned of, with the counts of those that it evaluates.
func (c *Controller) Statuses() []Status { return c.statuses.get() }

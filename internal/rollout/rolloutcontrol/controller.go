// Package rolloutcontrol carries out the specs that move services to other versions: it reports what each node
// counted to the evaluator nodes of a service, evaluates canary versions, and writes the phase of each roll-out to the
// store.
//
// Every node runs a Controller. The evaluator nodes of a service are the first registered nodes by rendezvous hash.
// Correctness does not depend on nodes agreeing about who they are: each evaluator node may write, and the store accepts a
// write only in place of the state that the evaluator node knew and while the spec is unchanged. If evaluator nodes disagree the first
// write wins, and a late one has no effect. A version found bad is stopped at once by messages between nodes (a
// abort), whether or not the store accepts the write.
//
// The package owns the counts of all nodes at an evaluator node, the aborts, and the goroutines of Run with its writes and fleet
// calls. It relies on the catalog for specs, states and registered nodes, on datagrams for reports and aborts, on
// conditional writes of the store, and on a clock that counts suspended time.
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

// Splitter is what draws this node's requests for canary versions; canary.Splitter is the real one.
type Splitter interface {
	// Abort stops the canary of a spec at this node for good.
	Abort(service string, specID int64)
	// SettledRevision returns the revision at which the node is settled: it sends nothing by an older rule any more.
	SettledRevision() int64
	// Ramp returns how long the nodes take to move the requests of a spec with the given duration.
	Ramp(duration time.Duration) time.Duration
}

// Fleet queries the other nodes.
type Fleet interface {
	// Settled asks the nodes at which revision they are settled. Nodes that don't answer before the context ends are
	// not counted.
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
	// Clock counts the time for which the machine was suspended, because a spec's duration continues meanwhile.
	Clock boottime.Clock
}

// Controller carries out roll-outs at one node. Run must be called; the other methods are safe for concurrent use.
type Controller struct {
	deps     Deps
	cfg      Config
	tallies  tallies
	aborts   aborts
	reporter *reporter

	// The fields up to running belong to the goroutine of Run.
	evaluatorNodes evaluatorNodeSet
	rollouts       map[string]*activeRollout
	schedules      map[string]*writeSchedule
	hasStarted     bool // a first configuration was handled
	steppedAt      boottime.Instant
	evaluateAfter  time.Time // after a suspension: earlier, reports may be unread
	reportedAt     time.Time
	queriedAt      time.Time
	answeredAt     time.Time // when the call of the newest answer was made
	fleetCalls     int       // in flight
	writes         int       // in flight
	written        chan writeResult
	answers        chan fleetAnswer
	running        sync.WaitGroup

	statuses statusSnapshot
}

// writeResult is the outcome of a write.
type writeResult struct {
	schedule *writeSchedule
	event    PhaseWriteEvent
}

// maxWrites bounds the writes of one node in flight, so that many specs at once do not flood the store.
const maxWrites = 8

// changeBacklog is how many configuration changes may wait. Changes beyond it are picked up by the next periodic
// step.
const changeBacklog = 64

// New returns a controller.
func New(deps Deps) *Controller {
	c := &Controller{
		deps: deps, cfg: deps.Config, evaluatorNodes: evaluatorNodeSet{max: deps.Config.EvaluatorNodes},
		rollouts: map[string]*activeRollout{}, schedules: map[string]*writeSchedule{},
		written: make(chan writeResult), answers: make(chan fleetAnswer),
	}
	c.reporter = newReporter(deps, c.keepOwn, c.dropOwn)
	return c
}

// Run follows specs until the context ends, and returns after its goroutines have ended.
func (c *Controller) Run(ctx context.Context) {
	changes, stop := c.deps.Catalog.Subscribe(changeBacklog)
	defer stop()
	defer c.running.Wait()
	c.steppedAt = c.deps.Clock.Instant()
	for {
		timer := time.NewTimer(c.step(ctx, c.deps.Clock.Now()))
		isOver := c.await(ctx, timer, changes)
		timer.Stop()
		if isOver {
			return
		}
	}
}

// await returns when there is something to do, and reports whether the context ended.
func (c *Controller) await(ctx context.Context, timer *time.Timer, changes <-chan catalog.Change) bool {
	for {
		select {
		case <-timer.C:
			return false
		case change := <-changes:
			if concernsRollouts(change) {
				return false
			}
		case result := <-c.written:
			c.writeDone(c.deps.Clock.Now(), result)
			return false
		case answer := <-c.answers:
			c.handleAnswer(answer)
			return false
		case <-ctx.Done():
			return true
		}
	}
}

// concernsRollouts reports whether a change is of a spec or of a state.
func concernsRollouts(change catalog.Change) bool {
	for _, entry := range change.Entries() {
		if strings.HasPrefix(entry.Key, catalog.RolloutKey("")) || strings.HasPrefix(entry.Key, catalog.RolloutStateKey("")) {
			return true
		}
	}
	return false
}

// resumeIntervals is for how many report intervals an evaluator node collects reports after its machine resumed: all nodes
// report their counts within one; the second covers delivery and late ticks.
const resumeIntervals = 2

// mustWaitForReports reports whether the machine resumed so recently that reports and aborts sent meanwhile may still
// be unread. Otherwise an evaluator node could find a version good by counts from before it turned bad.
func (c *Controller) mustWaitForReports(now time.Time) bool {
	if c.steppedAt.Suspended() > 0 {
		c.evaluateAfter = now.Add(resumeIntervals * c.cfg.ReportInterval)
	}
	c.steppedAt = c.deps.Clock.Instant()
	return now.Before(c.evaluateAfter)
}

// step follows the specs in force and returns the longest time until the next step.
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
	for service, known := range view.Rollouts {
		if pause := c.follow(ctx, now, view, service, known); pause > 0 {
			next = min(next, pause)
		}
	}
	if pause := c.queryFleet(ctx, now, view); pause > 0 {
		next = min(next, pause)
	}
	c.statuses.set(c.rollouts)
	return next
}

// refreshRollouts starts to follow the specs in force and forgets those that are over.
func (c *Controller) refreshRollouts(now time.Time, view *catalog.View) {
	for service, known := range view.Rollouts {
		if isUnderWay(known) {
			c.refreshRollout(now, view, service, known)
		}
	}
	for service, active := range c.rollouts {
		known := view.Rollouts[service]
		if isUnderWay(known) && known.Spec.ID() == active.spec.ID() {
			continue
		}
		if hasStateOfSpec(known) && (active.state == nil || active.state.Revision != known.State.Revision) {
			c.deps.Events.PhaseLearned(*known.State)
		}
		delete(c.rollouts, service)
	}
	maps.DeleteFunc(c.schedules, func(service string, _ *writeSchedule) bool { return view.Rollouts[service] == (catalog.Rollout{}) })
	isWanted := func(id rolloutID) bool { return c.isWanted(view, id) }
	c.tallies.retain(isWanted)
	c.aborts.retain(isWanted)
	c.hasStarted = true
}

// refreshRollout follows a spec that is under way.
func (c *Controller) refreshRollout(now time.Time, view *catalog.View, service string, known catalog.Rollout) {
	active := c.rollouts[service]
	if active == nil || active.spec.ID() != known.Spec.ID() {
		active = &activeRollout{spec: *known.Spec, learnedAt: now, knownAtStart: !c.hasStarted}
		c.rollouts[service] = active
		if c.aborts.has(rolloutID{service, known.Spec.ID()}) {
			c.deps.Splitter.Abort(service, known.Spec.ID()) // the abort came before the spec
		}
		c.deps.Events.SpecSeen(SpecEvent{Spec: *known.Spec, Rank: c.rank(view, service)})
	}
	active.spec = *known.Spec // a restored store has it at another revision
	before := active.state
	active.refresh(now, view)
	if state := active.state; state != nil && (before == nil || before.Revision != state.Revision) {
		c.deps.Events.PhaseLearned(*state)
	}
}

// hasStateOfSpec reports whether there is a state that belongs to the spec.
func hasStateOfSpec(known catalog.Rollout) bool {
	return known.State != nil && known.State.BelongsTo(known.Spec)
}

// isUnderWay reports whether there is a spec without a final state.
func isUnderWay(known catalog.Rollout) bool {
	return known.Spec != nil && !(hasStateOfSpec(known) && known.State.Phase.IsFinal())
}

// isWanted reports whether counts and aborts of a spec still matter: it is under way, or this node has not learned
// of it yet.
func (c *Controller) isWanted(view *catalog.View, id rolloutID) bool {
	if id.specID > revision.Count(view.Revision) {
		return true
	}
	known := view.Rollouts[id.service]
	return isUnderWay(known) && known.Spec.ID() == id.specID
}

func (c *Controller) rank(view *catalog.View, service string) int {
	return rankOf(c.evaluatorNodes.of(view, service), c.deps.Self.ID)
}

// report sends this node's counts to the evaluator nodes once each report interval.
func (c *Controller) report(now time.Time, view *catalog.View) {
	if now.Sub(c.reportedAt) < c.cfg.ReportInterval {
		return
	}
	c.reportedAt = now
	evaluatorNodes := func(service string) []catalog.NodeRecord { return c.evaluatorNodes.of(view, service) }
	c.reporter.step(now, evaluatorNodes, func(id rolloutID) bool { return c.isWanted(view, id) })
}

// Statuses returns the roll-outs under way as this node sees them, with the counts of those that it evaluates.
func (c *Controller) Statuses() []Status { return c.statuses.get() }

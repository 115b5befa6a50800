// Package rolloutcontrol carries orders out that move services to other versions: it tells the judges of a service
// what each node counted, judges versions on trial, and writes how far the fleet is.
//
// All nodes run it. The judges of a service are the first of the registered nodes by rendezvous hash. No right depends
// on that belief: each judge may write, and the store takes a write only in place of the state that the judge knew and
// while the order stands, so that of judges that disagree the first one wins and one that comes late has no effect. A
// version found bad is held at once by word between nodes, whether the store takes the verdict or not.
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

// Splitter is what draws the requests for versions on trial at this node.
type Splitter interface {
	// Hold ends the trial of an order at this node; it is never lifted.
	Hold(service string, order int64)
	// SettledRevision gives the revision at which the node is settled.
	SettledRevision() int64
	// Ramp gives how long the nodes take to move the requests of an order of a duration.
	Ramp(order time.Duration) time.Duration
}

// Fleet asks all nodes how far they are.
type Fleet interface {
	// Settled asks at which revision the nodes are settled; those that don't answer in time are not counted.
	Settled(ctx context.Context, revision int64) FleetStatus
}

// Deps are what a controller is made of.
type Deps struct {
	Config   Config
	Catalog  *catalog.Catalog
	Self     catalog.NodeRecord
	Counts   Counts
	Splitter Splitter
	Judging  EvaluatorFactory
	States   StateWriter
	Fleet    Fleet
	Sender   Sender
	Events   EventLog
	// Clock counts the time for which the machine was suspended: an order's time goes on meanwhile.
	Clock boottime.Clock
}

// Controller carries roll-outs out at one node. Run must be called; the other methods are safe for concurrent use.
type Controller struct {
	deps     Deps
	cfg      Config
	tallies  tallies
	holds    holds
	reporter *reporter

	// What follows belongs to the goroutine of Run.
	judges     judgeSet
	orders     map[string]*activeOrder
	schedules  map[string]*writeSchedule
	hasStarted bool // the first state was seen
	steppedAt  boottime.Mark
	judgeAfter time.Time // what it knows is older than a suspension before
	reportedAt time.Time
	askedAt    time.Time
	answeredAt time.Time // when the newest answer of the fleet was asked for
	fleetCalls int       // calls of the fleet in flight
	writes     int       // writes in flight
	written    chan writeResult
	answers    chan fleetAnswer
	running    sync.WaitGroup

	statuses statusSnapshot
}

// writeResult is how a write went.
type writeResult struct {
	schedule *writeSchedule
	record   PhaseWriteEvent
}

// maxWrites bounds the writes in flight of one node: many orders at once must not flood the store.
const maxWrites = 8

// changeBacklog is how many changes of configuration may wait; what overflows is seen at the next look.
const changeBacklog = 64

// New makes a controller.
func New(deps Deps) *Controller {
	c := &Controller{
		deps: deps, cfg: deps.Config, judges: judgeSet{max: deps.Config.Judges},
		orders: map[string]*activeOrder{}, schedules: map[string]*writeSchedule{},
		written: make(chan writeResult), answers: make(chan fleetAnswer),
	}
	c.reporter = newReporter(deps, c.keepOwn, c.dropOwn)
	return c
}

// Run follows orders until the context ends.
func (c *Controller) Run(ctx context.Context) {
	changes, stop := c.deps.Catalog.Subscribe(changeBacklog)
	defer stop()
	defer c.running.Wait()
	c.steppedAt = c.deps.Clock.Mark()
	for {
		timer := time.NewTimer(c.step(ctx, c.deps.Clock.Now()))
		isOver := c.await(ctx, timer, changes)
		timer.Stop()
		if isOver {
			return
		}
	}
}

// await returns when there is something to look at, and reports whether the context ended.
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

// concernsRollouts reports whether a change is one of an order or of a state.
func concernsRollouts(change catalog.Change) bool {
	for _, entry := range change.Entries() {
		if strings.HasPrefix(entry.Key, catalog.RolloutKey("")) || strings.HasPrefix(entry.Key, catalog.RolloutStateKey("")) {
			return true
		}
	}
	return false
}

// resumeIntervals is for how many report intervals a judge that woke listens: all nodes tell of their counts within one, and
// their way and a late tick are within another.
const resumeIntervals = 2

// mustWaitForReports reports whether the machine was suspended so short a while ago that the counts and holds which came
// meanwhile may not be read yet. A judge that slept while a version turned bad would else find it good by old counts.
func (c *Controller) mustWaitForReports(now time.Time) bool {
	if c.steppedAt.Suspended() > 0 {
		c.judgeAfter = now.Add(resumeIntervals * c.cfg.ReportInterval)
	}
	c.steppedAt = c.deps.Clock.Mark()
	return now.Before(c.judgeAfter)
}

// step follows the orders in force, and gives when to look again at the latest.
func (c *Controller) step(ctx context.Context, now time.Time) time.Duration {
	mustWaitForReports := c.mustWaitForReports(now)
	view := c.deps.Catalog.View()
	if view.Revision == 0 {
		return c.cfg.ReportInterval
	}
	c.refreshOrders(now, view)
	c.report(now, view)
	next := c.cfg.ReportInterval
	if mustWaitForReports {
		return min(next, c.judgeAfter.Sub(now))
	}
	for service, known := range view.Rollouts {
		if pause := c.follow(ctx, now, view, service, known); pause > 0 {
			next = min(next, pause)
		}
	}
	if pause := c.askFleet(ctx, now, view); pause > 0 {
		next = min(next, pause)
	}
	c.statuses.set(c.orders)
	return next
}

// refreshOrders takes the orders in force, and forgets those that are over.
func (c *Controller) refreshOrders(now time.Time, view *catalog.View) {
	for service, known := range view.Rollouts {
		if isUnderWay(known) {
			c.refreshOrder(now, view, service, known)
		}
	}
	for service, active := range c.orders {
		known := view.Rollouts[service]
		if isUnderWay(known) && known.Order.ID() == active.order.ID() {
			continue
		}
		if isAnswered(known) && (active.state == nil || active.state.Revision != known.State.Revision) {
			c.deps.Events.PhaseLearned(*known.State)
		}
		delete(c.orders, service)
	}
	maps.DeleteFunc(c.schedules, func(service string, _ *writeSchedule) bool { return view.Rollouts[service] == (catalog.Rollout{}) })
	isWanted := func(order orderKey) bool { return c.isWanted(view, order) }
	c.tallies.retain(isWanted)
	c.holds.retain(isWanted)
	c.hasStarted = true
}

// refreshOrder takes an order that is under way.
func (c *Controller) refreshOrder(now time.Time, view *catalog.View, service string, known catalog.Rollout) {
	active := c.orders[service]
	if active == nil || active.order.ID() != known.Order.ID() {
		active = &activeOrder{order: *known.Order, learnedAt: now, knownAtStart: !c.hasStarted}
		c.orders[service] = active
		if c.holds.has(orderKey{service, known.Order.ID()}) {
			c.deps.Splitter.Hold(service, known.Order.ID()) // word of it came before the order
		}
		c.deps.Events.OrderSeen(OrderEvent{Order: *known.Order, Rank: c.rank(view, service)})
	}
	active.order = *known.Order // a restored store has it at another revision
	before := active.state
	active.refresh(now, view)
	if state := active.state; state != nil && (before == nil || before.Revision != state.Revision) {
		c.deps.Events.PhaseLearned(*state)
	}
}

// isAnswered reports whether the state is of the order.
func isAnswered(known catalog.Rollout) bool {
	return known.State != nil && known.State.BelongsTo(known.Order)
}

// isUnderWay reports whether there is an order without a final state.
func isUnderWay(known catalog.Rollout) bool {
	return known.Order != nil && !(isAnswered(known) && known.State.Phase.IsFinal())
}

// isWanted reports whether counts and holds of an order still matter: it is under way, or not learned of yet.
func (c *Controller) isWanted(view *catalog.View, order orderKey) bool {
	if order.id > revision.Count(view.Revision) {
		return true
	}
	known := view.Rollouts[order.service]
	return isUnderWay(known) && known.Order.ID() == order.id
}

func (c *Controller) rank(view *catalog.View, service string) int {
	return rankOf(c.judges.of(view, service), c.deps.Self.ID)
}

// report tells the judges what this node counted, if it is time.
func (c *Controller) report(now time.Time, view *catalog.View) {
	if now.Sub(c.reportedAt) < c.cfg.ReportInterval {
		return
	}
	c.reportedAt = now
	judges := func(service string) []catalog.NodeRecord { return c.judges.of(view, service) }
	c.reporter.step(now, judges, func(order orderKey) bool { return c.isWanted(view, order) })
}

// Statuses gives the roll-outs under way as this node sees them, with the counts of those that it judges.
func (c *Controller) Statuses() []Status { return c.statuses.get() }

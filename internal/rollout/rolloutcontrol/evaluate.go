package rolloutcontrol

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// follow does what this node must do now for the roll-out of a service. It returns the time until the next check, 0
// for the report interval.
func (c *Controller) follow(ctx context.Context, now time.Time, view *catalog.View, service string, known catalog.Rollout) time.Duration {
	rank := c.rank(view, service)
	active := c.orders[service]
	switch {
	case rank < 0:
		return 0
	case active != nil:
		return c.evaluate(ctx, now, view, active, rank)
	case known.Order == nil && known.State != nil && !known.State.Phase.IsFinal():
		return c.endWithoutOrder(ctx, now, *known.State, rank)
	default:
		delete(c.schedules, service)
		return 0
	}
}

// evaluate evaluates the counts of an order, stops a version found bad, and writes the phase that follows. It returns the
// time until the next check, 0 for the report interval.
func (c *Controller) evaluate(ctx context.Context, now time.Time, view *catalog.View, active *activeOrder, rank int) time.Duration {
	order := orderKey{active.order.Service, active.order.ID()}
	rows, newest := c.tallies.sum(order)
	if reason, isHeld := c.holds.reason(order); isHeld {
		active.evaluation = verdict.Evaluation{Finding: verdict.Bad, Reason: reason}
	}
	active.evaluate(now, c.deps.NewEvaluator, rows, newest)
	if active.evaluation.Finding == verdict.Bad {
		c.hold(order, active.evaluation.Reason)
		c.warnEvaluatorNodes(now, view, active, order)
	}
	untilMargin := active.order.Duration() - c.cfg.rollbackMargin(active.order.Duration()) - active.elapsed(now)
	phase, reason := active.nextPhase(now, c.cfg, c.evaluatorNodes.fingerprint(view))
	if phase == "" {
		return untilMargin
	}
	state := active.stateOf(now, phase, reason, c.deps.Self.ID)
	dueIn := c.write(ctx, now, c.phaseWriteOf(now, view, active, state, rank))
	if untilMargin > 0 && dueIn > 0 {
		return min(untilMargin, dueIn)
	}
	return max(untilMargin, dueIn)
}

// phaseWrite is a write of a state that an evaluator node wants done.
type phaseWrite struct {
	event PhaseWriteEvent
	// replaced is the revision of the state that the write replaces, 0 for none.
	replaced int64
	// order is the revision at which the order must still be, 0 for no order.
	order int64
	// delay is how long the write must have been due before this evaluator node sends it: the evaluator nodes before it go first.
	delay time.Duration
}

// phaseWriteOf returns the write of a new state of an order.
func (c *Controller) phaseWriteOf(now time.Time, view *catalog.View, active *activeOrder, state rollout.State, rank int) phaseWrite {
	event := PhaseWriteEvent{State: state, Counts: countVersions(active.rows)}
	if !active.newestAt.IsZero() {
		event.Age = now.Sub(active.newestAt)
	}
	replaced := int64(0)
	if before := view.Rollouts[active.order.Service].State; before != nil {
		replaced = before.Revision
	}
	delay := time.Duration(rank) * c.cfg.takeoverPause(state.Phase, active.order.Duration())
	return phaseWrite{event: event, replaced: replaced, order: active.order.Revision, delay: delay}
}

// endWithoutOrder ends a roll-out whose order was withdrawn: the version that served continues to serve.
func (c *Controller) endWithoutOrder(ctx context.Context, now time.Time, state rollout.State, rank int) time.Duration {
	replaced := state.Revision
	state.Phase, state.Reason, state.DecidedBy = rollout.RolledBack, "the order was taken back", c.deps.Self.ID
	delay := time.Duration(rank) * c.cfg.TakeoverPause
	return c.write(ctx, now, phaseWrite{event: PhaseWriteEvent{State: state}, replaced: replaced, delay: delay})
}

// write sends a state to the store if that is due; otherwise it returns the time until it is, 0 if that does not depend
// on time.
func (c *Controller) write(ctx context.Context, now time.Time, w phaseWrite) time.Duration {
	state := w.event.State
	if c.schedules[state.Service] == nil {
		c.schedules[state.Service] = &writeSchedule{}
	}
	schedule := c.schedules[state.Service]
	if !schedule.isDue(now, plannedWrite{state.Phase, state.OrderRevision, w.replaced}, w.delay) {
		return schedule.dueIn(now, w.delay)
	}
	if c.writes >= maxWrites {
		return 0
	}
	schedule.isBusy = true
	c.writes++
	c.running.Go(func() {
		writeCtx, cancel := context.WithTimeout(ctx, c.cfg.WriteTimeout)
		defer cancel()
		w.event.Revision, w.event.Err = c.deps.States.Write(writeCtx, state, w.replaced, w.order)
		select {
		case c.written <- writeResult{schedule, w.event}:
		case <-ctx.Done():
		}
	})
	return 0
}

// writeDone records the outcome of a write.
func (c *Controller) writeDone(now time.Time, result writeResult) {
	c.writes--
	c.deps.Events.PhaseWritten(result.event)
	result.schedule.done(now, result.event.Err, c.cfg)
}

package rolloutcontrol

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// follow runs one step of the rollout of a service if this node is one of its evaluator nodes. It returns the time
// until the next check, 0 for the report interval.
func (c *Controller) follow(ctx context.Context, now time.Time, view *catalog.View, service string, stored catalog.Rollout) time.Duration {
	rank := c.rank(view, service)
	active := c.rollouts[service]
	switch {
	case rank < 0:
		return 0
	case active != nil:
		return c.evaluate(ctx, now, view, active, rank)
	case stored.Spec == nil && stored.State != nil && !stored.State.Phase.IsFinal():
		return c.endWithoutSpec(ctx, now, *stored.State, rank)
	default:
		delete(c.schedules, service)
		return 0
	}
}

// evaluate evaluates the counts of a spec, aborts it if the version fails evaluation, and writes the next phase. It
// returns the time until the next check, 0 for the report interval.
func (c *Controller) evaluate(ctx context.Context, now time.Time, view *catalog.View, active *activeRollout, rank int) time.Duration {
	id := specKey{active.spec.Service, active.spec.ID()}
	rows, newest := c.tallies.sum(id)
	if reason, isAborted := c.aborts.reason(id); isAborted {
		active.evaluation = verdict.Evaluation{Finding: verdict.Bad, Reason: reason}
	}
	active.evaluate(now, c.deps.NewEvaluator, rows, newest)
	if active.evaluation.Finding == verdict.Bad {
		c.abort(id, active.evaluation.Reason)
		c.sendAbortToEvaluatorNodes(now, view, active, id)
	}
	untilMargin := active.spec.Duration() - c.cfg.rollbackMargin(active.spec.Duration()) - active.elapsed(now)
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

// phaseWrite is a write of a state that is due or becomes due after a delay.
type phaseWrite struct {
	event PhaseWriteEvent
	// replaced is the revision of the state that the write replaces, 0 for none.
	replaced int64
	// specRevision is the revision that the spec must still have, 0 for no spec.
	specRevision int64
	// delay is how long the write must have been planned before this node sends it. Evaluator nodes of preceding ranks
	// write first.
	delay time.Duration
}

// phaseWriteOf returns the write of a new state of a spec.
func (c *Controller) phaseWriteOf(now time.Time, view *catalog.View, active *activeRollout, state rollout.State, rank int) phaseWrite {
	event := PhaseWriteEvent{State: state, Counts: countVersions(active.rows)}
	if !active.newestAt.IsZero() {
		event.Age = now.Sub(active.newestAt)
	}
	replaced := int64(0)
	if before := view.Rollouts[active.spec.Service].State; before != nil {
		replaced = before.Revision
	}
	delay := time.Duration(rank) * c.cfg.takeoverPause(state.Phase, active.spec.Duration())
	return phaseWrite{event: event, replaced: replaced, specRevision: active.spec.Revision, delay: delay}
}

// endWithoutSpec ends a rollout whose spec was withdrawn. The previous version continues to serve.
func (c *Controller) endWithoutSpec(ctx context.Context, now time.Time, state rollout.State, rank int) time.Duration {
	replaced := state.Revision
	state.Phase, state.Reason, state.DecidedBy = rollout.PhaseRolledBack, "the order was taken back", c.deps.Self.ID
	delay := time.Duration(rank) * c.cfg.TakeoverPause
	return c.write(ctx, now, phaseWrite{event: PhaseWriteEvent{State: state}, replaced: replaced, delay: delay})
}

// write sends a state to the store if the write is due. Otherwise it returns the time until it is due, 0 if that does
// not depend on time.
func (c *Controller) write(ctx context.Context, now time.Time, w phaseWrite) time.Duration {
	state := w.event.State
	if c.schedules[state.Service] == nil {
		c.schedules[state.Service] = &writeSchedule{}
	}
	schedule := c.schedules[state.Service]
	if !schedule.isDue(now, plannedWrite{state.Phase, state.SpecRevision, w.replaced}, w.delay) {
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
		w.event.Revision, w.event.Err = c.deps.States.Write(writeCtx, state, w.replaced, w.specRevision)
		select {
		case c.writeResults <- writeResult{schedule, w.event}:
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

package rolloutcontrol

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// follow does what this node must do now for the roll-out of a service, and gives when to look again, 0 for the
// usual time.
func (c *Controller) follow(ctx context.Context, now time.Time, view *catalog.View, service string, known catalog.Rollout) time.Duration {
	rank := c.rank(view, service)
	active := c.orders[service]
	switch {
	case rank < 0:
		return 0
	case active != nil:
		return c.judge(ctx, now, view, active, rank)
	case known.Order == nil && known.State != nil && !known.State.Phase.IsFinal():
		return c.endWithoutOrder(ctx, now, *known.State, rank)
	default:
		delete(c.schedules, service)
		return 0
	}
}

// judge looks at the counts of an order and writes what follows.
func (c *Controller) judge(ctx context.Context, now time.Time, view *catalog.View, t *activeOrder, rank int) time.Duration {
	order := orderKey{t.order.Service, t.order.ID()}
	rows, newest := c.tallies.sum(order)
	if reason, isHeld := c.holds.reason(order); isHeld {
		t.judgement = verdict.Judgement{Finding: verdict.Bad, Reason: reason}
	}
	t.judge(now, c.deps.Judging, rows, newest)
	if t.judgement.Finding == verdict.Bad {
		c.hold(order, t.judgement.Reason)
		c.warnJudges(now, view, t, order)
	}
	untilMargin := t.order.Duration() - c.cfg.rollbackMargin(t.order.Duration()) - t.elapsed(now)
	phase, reason := t.nextPhase(now, c.cfg, c.judges.fingerprint(view))
	if phase == "" {
		return untilMargin
	}
	replaced := int64(0)
	if state := view.Rollouts[t.order.Service].State; state != nil {
		replaced = state.Revision
	}
	state := t.stateOf(now, phase, reason, c.deps.Self.ID)
	record := PhaseWriteEvent{State: state, Counts: countVersions(rows)}
	if !newest.IsZero() {
		record.Age = now.Sub(newest)
	}
	pause := time.Duration(rank) * c.cfg.takeoverPause(phase, t.order.Duration())
	dueIn := c.write(ctx, now, record, replaced, t.order.Revision, pause)
	if untilMargin > 0 && dueIn > 0 {
		return min(untilMargin, dueIn)
	}
	return max(untilMargin, dueIn)
}

// endWithoutOrder ends a roll-out whose order was taken back: the version that served serves on.
func (c *Controller) endWithoutOrder(ctx context.Context, now time.Time, state rollout.State, rank int) time.Duration {
	replaced := state.Revision
	state.Phase, state.Reason, state.DecidedBy = rollout.RolledBack, "the order was taken back", c.deps.Self.ID
	return c.write(ctx, now, PhaseWriteEvent{State: state}, replaced, 0, time.Duration(rank)*c.cfg.TakeoverPause)
}

// write sends a state to the store if that is due, and gives when it is if it is not.
func (c *Controller) write(ctx context.Context, now time.Time, record PhaseWriteEvent, replaced, order int64, pause time.Duration) time.Duration {
	service := record.State.Service
	if c.schedules[service] == nil {
		c.schedules[service] = &writeSchedule{}
	}
	schedule := c.schedules[service]
	if !schedule.isDue(now, plannedWrite{record.State.Phase, record.State.OrderRevision, replaced}, pause) {
		return schedule.dueIn(now, pause)
	}
	if c.writes >= maxWrites {
		return 0
	}
	schedule.isBusy = true
	c.writes++
	c.running.Go(func() {
		writeCtx, cancel := context.WithTimeout(ctx, c.cfg.WriteTimeout)
		defer cancel()
		record.Revision, record.Err = c.deps.States.Write(writeCtx, record.State, replaced, order)
		select {
		case c.written <- writeResult{schedule, record}:
		case <-ctx.Done():
		}
	})
	return 0
}

// writeDone notes how a write went.
func (c *Controller) writeDone(now time.Time, result writeResult) {
	c.writes--
	c.deps.Events.PhaseWritten(result.record)
	result.schedule.done(now, result.record.Err, c.cfg)
}

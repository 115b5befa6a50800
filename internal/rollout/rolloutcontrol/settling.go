package rolloutcontrol

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/rollout"
)

// firstAskPart is the part of the interval that a judge leaves the nodes after the ramp until it asks first: they learn
// of the verdict later than it does, and end what is under way. Not measured yet.
const firstAskPart = 0.5

// maxFleetCalls bounds the calls of the fleet in flight. A silent node holds a call up for as long as it is waited for,
// and the next one, which finds more nodes settled, must not wait for that.
const maxFleetCalls = 4

// fleetAnswer is what the fleet answered, and when it was asked.
type fleetAnswer struct {
	asked  time.Time
	status FleetStatus
}

// askFleet asks all nodes how far they are if this node waits for them, and gives when to look again, 0 for the usual
// time. One answer serves all orders.
func (c *Controller) askFleet(ctx context.Context, now time.Time, view *catalog.View) time.Duration {
	revision, next := int64(0), time.Duration(0)
	for service, t := range c.orders {
		rank := c.rank(view, service)
		if rank < 0 || t.phase() != rollout.Switching || !t.settledSince.IsZero() {
			continue
		}
		dueIn := t.switchingSince.Add(c.untilFirstAsk(t.order, rank)).Sub(now)
		if dueIn <= 0 {
			revision = max(revision, t.state.Revision)
			dueIn = c.askedAt.Add(c.cfg.SettleInterval).Sub(now)
		}
		next = earlier(next, dueIn)
	}
	if revision == 0 || c.fleetCalls >= maxFleetCalls || now.Sub(c.askedAt) < c.cfg.SettleInterval {
		return next
	}
	c.ask(ctx, now, revision)
	return c.cfg.SettleInterval
}

// untilFirstAsk gives how long after the switch of an order the nodes are asked first: when they can be settled, and the
// other judges when the one before them should have written what it found after its last look.
func (c *Controller) untilFirstAsk(order rollout.Order, rank int) time.Duration {
	first := c.deps.Splitter.Ramp(order.Duration()) + time.Duration(firstAskPart*float64(c.cfg.SettleInterval))
	if rank == 0 {
		return first
	}
	return first + c.cfg.finalWatch(order.Duration()) + time.Duration(rank)*c.cfg.takeoverPause(rollout.Succeeded, order.Duration())
}

// earlier gives the shorter of two pauses, where one of 0 or less is none.
func earlier(one, other time.Duration) time.Duration {
	if one <= 0 || other <= 0 {
		return max(one, other)
	}
	return min(one, other)
}

// ask asks the nodes whether they are settled at a revision.
func (c *Controller) ask(ctx context.Context, now time.Time, revision int64) {
	c.fleetCalls++
	c.askedAt = now
	c.running.Go(func() {
		askCtx, cancel := context.WithTimeout(ctx, c.cfg.SettleWait)
		defer cancel()
		answer := fleetAnswer{asked: now, status: c.deps.Fleet.Settled(askCtx, revision)}
		select {
		case c.answers <- answer:
		case <-ctx.Done():
		}
	})
}

// handleAnswer gives the answer of the fleet to the orders that wait for it, unless it is older than the last one.
func (c *Controller) handleAnswer(answer fleetAnswer) {
	c.fleetCalls--
	if answer.asked.Before(c.answeredAt) {
		return
	}
	c.answeredAt = answer.asked
	for _, t := range c.orders {
		if t.phase() == rollout.Switching {
			t.status = answer.status
		}
	}
}

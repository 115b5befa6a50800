package rolloutcontrol

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/rollout"
)

// judgesPerWait is how many judges begin to ask within the time that nodes are waited for: the first has its answer
// by then where all goes well.
const judgesPerWait = 2

// mostAsking bounds the calls of the fleet in flight. A silent node holds a call up for as long as it is waited for,
// and the next one, which finds more nodes settled, must not wait for that.
const mostAsking = 4

// fleetAnswer is what the fleet answered, and when it was asked.
type fleetAnswer struct {
	asked  time.Time
	status FleetStatus
}

// askFleet asks all nodes how far they are if this node waits for them. One answer serves all orders.
func (c *Controller) askFleet(ctx context.Context, now time.Time, view *catalog.View) {
	revision := int64(0)
	for service, t := range c.trials {
		rank := c.rank(view, service)
		if rank < 0 || t.phase() != rollout.Switching {
			continue
		}
		wait := c.cfg.SettleInterval + time.Duration(rank)*c.cfg.SettleWait/judgesPerWait
		if now.Sub(t.switchingSince) >= wait {
			revision = max(revision, t.state.Revision)
		}
	}
	if revision == 0 || c.asking >= mostAsking || now.Sub(c.askedAt) < c.cfg.SettleInterval {
		return
	}
	c.asking++
	c.askedAt = now
	c.running.Go(func() {
		askCtx, cancel := context.WithTimeout(ctx, c.cfg.SettleWait)
		defer cancel()
		answer := fleetAnswer{asked: now, status: c.parts.Fleet.Settled(askCtx, revision)}
		select {
		case c.statuses <- answer:
		case <-ctx.Done():
		}
	})
}

// takeAnswer gives the answer of the fleet to the orders that wait for it, unless it is older than the last one.
func (c *Controller) takeAnswer(answer fleetAnswer) {
	c.asking--
	if answer.asked.Before(c.answeredAt) {
		return
	}
	c.answeredAt = answer.asked
	for _, t := range c.trials {
		if t.phase() == rollout.Switching {
			t.status = answer.status
		}
	}
}

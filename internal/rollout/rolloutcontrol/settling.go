package rolloutcontrol

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/rollout"
)

// firstCheckFraction is the part of the settle interval, after the ramp, that an evaluator node leaves the nodes before it asks
// first: they learn of the verdict later than the evaluator node, and finish what is in flight.
const firstCheckFraction = 0.5

// maxFleetCalls bounds the fleet calls in flight. A silent node delays a call up to SettleWait, and the next call,
// which finds more nodes settled, must not wait for it.
const maxFleetCalls = 4

// FleetStatus is how far the nodes that answered are.
type FleetStatus struct {
	// Answered is the number of nodes that answered.
	Answered int
	// Registered is the fingerprint of those of them that are registered.
	Registered uint64
	// LowestSettled is the lowest revision at which one of them is settled: it sends nothing by an older rule any
	// more and has nothing in flight by one.
	LowestSettled int64
}

// fleetAnswer is the answer to a fleet call and when the call was made.
type fleetAnswer struct {
	queriedAt time.Time
	status    FleetStatus
}

// queryFleet asks all nodes whether they are settled if a spec that this node evaluates waits for that, and returns the
// time until the next check, 0 for the report interval. One answer serves all specs.
func (c *Controller) queryFleet(ctx context.Context, now time.Time, view *catalog.View) time.Duration {
	revision, next := int64(0), time.Duration(0)
	for service, active := range c.rollouts {
		rank := c.rank(view, service)
		if rank < 0 || active.phase() != rollout.Switching || !active.settledSince.IsZero() {
			continue
		}
		dueIn := active.switchingSince.Add(c.untilFirstCheck(active.spec, rank)).Sub(now)
		if dueIn <= 0 {
			revision = max(revision, active.state.Revision)
			dueIn = c.queriedAt.Add(c.cfg.SettleInterval).Sub(now)
		}
		next = earlier(next, dueIn)
	}
	if revision == 0 || c.fleetCalls >= maxFleetCalls || now.Sub(c.queriedAt) < c.cfg.SettleInterval {
		return next
	}
	c.startQuery(ctx, now, revision)
	return c.cfg.SettleInterval
}

// untilFirstCheck returns how long after the switch of a spec an evaluator node asks first: the first evaluator node once the nodes can
// be settled, the others when the one before should have written the outcome of its final watch.
func (c *Controller) untilFirstCheck(spec rollout.Spec, rank int) time.Duration {
	first := c.deps.Splitter.Ramp(spec.Duration()) + time.Duration(firstCheckFraction*float64(c.cfg.SettleInterval))
	if rank == 0 {
		return first
	}
	return first + c.cfg.finalWatch(spec.Duration()) + time.Duration(rank)*c.cfg.takeoverPause(rollout.Succeeded, spec.Duration())
}

// earlier returns the shorter of two pauses, where 0 or less means none.
func earlier(one, other time.Duration) time.Duration {
	if one <= 0 || other <= 0 {
		return max(one, other)
	}
	return min(one, other)
}

// startQuery asks the nodes whether they are settled at a revision.
func (c *Controller) startQuery(ctx context.Context, now time.Time, revision int64) {
	c.fleetCalls++
	c.queriedAt = now
	c.running.Go(func() {
		queryCtx, cancel := context.WithTimeout(ctx, c.cfg.SettleWait)
		defer cancel()
		answer := fleetAnswer{queriedAt: now, status: c.deps.Fleet.Settled(queryCtx, revision)}
		select {
		case c.answers <- answer:
		case <-ctx.Done():
		}
	})
}

// handleAnswer hands an answer of the fleet to the specs that wait for it, unless a newer one was handled.
func (c *Controller) handleAnswer(answer fleetAnswer) {
	c.fleetCalls--
	if answer.queriedAt.Before(c.answeredAt) {
		return
	}
	c.answeredAt = answer.queriedAt
	for _, active := range c.rollouts {
		if active.phase() == rollout.Switching {
			active.status = answer.status
		}
	}
}

package rolloutcontrol

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/rollout"
)

// firstCheckFraction is the fraction of the settle interval that an evaluator node waits after the ramp before its
// first query: the other nodes learn of the verdict later, and have to finish their attempts in flight.
const firstCheckFraction = 0.5

// maxFleetQueries bounds the fleet queries in flight. An unresponsive node delays a query by up to SettleWait, and the
// next query, which finds more nodes settled, must not wait for it.
const maxFleetQueries = 4

// FleetStatus summarizes the answers of the nodes to a query.
type FleetStatus struct {
	// Answered is the number of nodes that answered.
	Answered int
	// Registered is the fingerprint of the registered nodes among them.
	Registered uint64
	// LowestSettled is the lowest revision up to which one of them is settled: it sends no requests under older rules
	// and has none in flight.
	LowestSettled int64
}

// fleetAnswer is the answer to a fleet query.
type fleetAnswer struct {
	queriedAt time.Time
	status    FleetStatus
}

// queryFleet queries all nodes for the revisions up to which they are settled, if a spec that this node evaluates waits
// for them. It returns the time until the next check, 0 for the report interval. One answer serves all specs.
func (c *Controller) queryFleet(ctx context.Context, now time.Time, view *catalog.View) time.Duration {
	revision, next := int64(0), time.Duration(0)
	for service, active := range c.rollouts {
		rank := c.rank(view, service)
		if rank < 0 || active.phase() != rollout.PhaseSwitching || !active.settledSince.IsZero() {
			continue
		}
		dueIn := active.switchingSince.Add(c.untilFirstCheck(active.spec, rank)).Sub(now)
		if dueIn <= 0 {
			revision = max(revision, active.state.Revision)
			dueIn = c.queriedAt.Add(c.cfg.SettleInterval).Sub(now)
		}
		next = earlier(next, dueIn)
	}
	if revision == 0 || c.fleetQueries >= maxFleetQueries || now.Sub(c.queriedAt) < c.cfg.SettleInterval {
		return next
	}
	c.startQuery(ctx, now, revision)
	return c.cfg.SettleInterval
}

// untilFirstCheck returns the time from the start of PhaseSwitching to the first query of an evaluator node. The node
// of rank 0 queries when the nodes can have settled. Each other node queries when the preceding rank should have
// written the outcome of its final watch.
func (c *Controller) untilFirstCheck(spec rollout.Spec, rank int) time.Duration {
	first := c.deps.Splitter.Ramp(spec.Duration()) + time.Duration(firstCheckFraction*float64(c.cfg.SettleInterval))
	if rank == 0 {
		return first
	}
	return first + c.cfg.finalWatch(spec.Duration()) + time.Duration(rank)*c.cfg.takeoverPause(rollout.PhaseSucceeded, spec.Duration())
}

// earlier returns the shorter of two pauses, where 0 or less means none.
func earlier(a, b time.Duration) time.Duration {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

// startQuery starts a query of all nodes for the revisions up to which they are settled.
func (c *Controller) startQuery(ctx context.Context, now time.Time, revision int64) {
	c.fleetQueries++
	c.queriedAt = now
	c.running.Go(func() {
		queryCtx, cancel := context.WithTimeout(ctx, c.cfg.SettleWait)
		defer cancel()
		answer := fleetAnswer{queriedAt: now, status: c.deps.Fleet.Settled(queryCtx, revision)}
		select {
		case c.fleetAnswers <- answer:
		case <-ctx.Done():
		}
	})
}

// handleAnswer stores an answer in the rollouts that wait for it, unless the answer to a newer query was handled
// before.
func (c *Controller) handleAnswer(answer fleetAnswer) {
	c.fleetQueries--
	if answer.queriedAt.Before(c.answerQueriedAt) {
		return
	}
	c.answerQueriedAt = answer.queriedAt
	for _, active := range c.rollouts {
		if active.phase() == rollout.PhaseSwitching {
			active.status = answer.status
		}
	}
}

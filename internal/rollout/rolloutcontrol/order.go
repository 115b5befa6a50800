package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// FleetStatus is what the nodes that answered say of how far they are.
type FleetStatus struct {
	// Answered is how many answered.
	Answered int
	// Registered is the fingerprint of those of them that are registered.
	Registered uint64
	// LowestSettled is the least revision at which one of them is settled: it sends nothing by an older rule and has
	// nothing in flight by one.
	LowestSettled int64
}

// activeOrder is one order as this node follows it.
type activeOrder struct {
	order rollout.Order
	// learnedAt is when this node learnedAt of the order. hadAtStart says that it was in the first state that the node
	// had: then the time that had passed until learnedAt is told by the state only.
	learnedAt     time.Time
	knownAtStart  bool
	elapsedBefore time.Duration

	// serving is the version that serves meanwhile; isServingKnown says that it was found, be it the empty one of
	// leafs that tell none.
	serving        string
	isServingKnown bool

	evaluator Evaluator
	judgement verdict.Judgement
	rows      []evidence.Row
	newestAt  time.Time // when the newest of the rows came

	warnedAt time.Time // when the other judges were told of a hold last

	state          *rollout.State // the one in force that answers the order; nil before the first
	switchingSince time.Time
	// settledSince is from when the nodes are known to be settled, or no more of them are waited for; zero until then.
	settledSince time.Time
	status       FleetStatus
}

// refresh takes what is in force of the order's roll-out.
func (t *activeOrder) refresh(now time.Time, view *catalog.View) {
	known := view.Rollouts[t.order.Service]
	if known.State != nil && known.State.BelongsTo(&t.order) {
		t.setState(now, known.State)
	} else {
		t.state = nil
	}
	if !t.isServingKnown {
		t.serving, t.isServingKnown = servingVersion(view, t.order)
	}
}

func (t *activeOrder) setState(now time.Time, state *rollout.State) {
	isFirst := t.state == nil
	if isFirst && t.knownAtStart {
		passed := time.Duration(t.learnedAt.UnixMilli()-state.StartedUnixMillis) * time.Millisecond
		t.elapsedBefore = min(max(passed, 0), t.order.Duration())
	}
	if state.Phase == rollout.Switching && t.phase() != rollout.Switching {
		t.switchingSince, t.settledSince, t.status = now, time.Time{}, FleetStatus{}
	}
	t.state = state
	t.serving, t.isServingKnown = state.Serving, true
}

// servingVersion gives the version that serves beside the target of an order: by the rule in force, or else that of
// most of the other leafs. Where all leafs there are are of the target, it serves. False while there are none.
func servingVersion(view *catalog.View, order rollout.Order) (string, bool) {
	if serving := view.Leafs.Rule(order.Service).Serving; serving != "" {
		return serving, true
	}
	counts := map[string]int{}
	for _, leaf := range view.Leafs.Of(order.Service) {
		counts[leaf.Version]++
	}
	best, found := "", false
	for version, count := range counts {
		isBetter := !found || count > counts[best] || count == counts[best] && version < best
		if version != order.Target && isBetter {
			best, found = version, true
		}
	}
	if !found && len(counts) > 0 {
		return order.Target, true
	}
	return best, found
}

// phase gives how far the roll-out is; empty before the first state.
func (t *activeOrder) phase() rollout.Phase {
	if t.state == nil {
		return ""
	}
	return t.state.Phase
}

// elapsed gives how much of the order's time is over; it goes on after its end.
func (t *activeOrder) elapsed(now time.Time) time.Duration {
	return t.elapsedBefore + now.Sub(t.learnedAt)
}

// judge looks at the counts. A version once found bad stays so, one found good until it is found bad.
func (t *activeOrder) judge(now time.Time, factory EvaluatorFactory, rows []evidence.Row, newest time.Time) {
	t.rows, t.newestAt = rows, newest
	if t.judgement.Finding == verdict.Bad || !t.isServingKnown {
		return
	}
	if t.evaluator == nil {
		t.evaluator = factory(t.serving, t.order.Target, t.order.Duration())
	}
	found := t.evaluator.Update(t.elapsed(now), rows)
	if found.Finding == verdict.Bad || t.judgement.Finding != verdict.Good {
		t.judgement = found
	}
}

// nextPhase gives the phase that should be written now and why; empty for none. Registered is the fingerprint of the nodes
// that are registered.
func (t *activeOrder) nextPhase(now time.Time, cfg Config, registered uint64) (rollout.Phase, string) {
	switch {
	case t.state == nil && t.isServingKnown && t.serving == t.order.Target:
		return rollout.Succeeded, "the version serves already"
	case t.judgement.Finding == verdict.Bad:
		return rollout.RolledBack, t.judgement.Reason
	case t.phase() == rollout.Switching:
		return t.nextWhileSwitching(now, cfg, registered)
	case t.judgement.Finding == verdict.Good:
		return rollout.Switching, t.judgement.Reason
	case t.elapsed(now) >= t.order.Duration()-cfg.rollbackMargin(t.order.Duration()):
		return rollout.RolledBack, undecidedReason(t.order.Target, t.rows)
	case t.state == nil && t.isServingKnown:
		return rollout.Canary, ""
	default:
		return "", ""
	}
}

// nextWhileSwitching ends the switching phase once the nodes are settled and the version was looked at with all requests. A good
// version is not rolled back for slow nodes: those that don't answer are waited for only so long, and from the end of the
// time on the others, too.
func (t *activeOrder) nextWhileSwitching(now time.Time, cfg Config, registered uint64) (rollout.Phase, string) {
	isWaitOver := now.Sub(t.switchingSince) >= cfg.SettleWait
	isSettled := t.status.Answered > 0 && t.status.LowestSettled >= t.state.Revision
	isDone := isSettled && (isWaitOver || t.status.Registered == registered)
	switch {
	case isDone && !t.isFinalWatchOver(now, cfg):
		return "", ""
	case isSettled && t.status.Registered == registered:
		return rollout.Succeeded, "all nodes are settled"
	case isSettled && isWaitOver:
		return rollout.Succeeded, "all nodes that answer are settled"
	case isWaitOver && t.elapsed(now) >= t.order.Duration()+cfg.SettleWait:
		return rollout.Succeeded, "found good, and the time is over"
	default:
		return "", ""
	}
}

// isFinalWatchOver reports whether the version had all requests for long enough to show what it does with them, or there is no more
// time for that. The order has one outcome, and the old leafs may end with it: a version that fails under full load only was
// told to have succeeded within a second of it.
func (t *activeOrder) isFinalWatchOver(now time.Time, cfg Config) bool {
	if t.settledSince.IsZero() {
		t.settledSince = now
	}
	duration := t.order.Duration()
	return now.Sub(t.settledSince) >= cfg.finalWatch(duration) || t.elapsed(now) >= duration
}

// stateOf gives the state to write for a phase.
func (t *activeOrder) stateOf(now time.Time, phase rollout.Phase, reason, self string) rollout.State {
	started := now.Add(-t.elapsed(now)).UnixMilli()
	if t.state != nil {
		started = t.state.StartedUnixMillis
	}
	return rollout.State{
		Service: t.order.Service, OrderRevision: revision.Count(t.order.Revision), Phase: phase, Serving: t.serving, Target: t.order.Target,
		StartedUnixMillis: started, Reason: reason, DecidedBy: self,
	}
}

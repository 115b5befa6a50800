package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// activeOrder is an order under way as this node follows it.
type activeOrder struct {
	order rollout.Order
	// learnedAt is when this node learned of the order. knownAtStart says that the order was in the first
	// configuration that the node had; elapsedBefore is then the time that had passed before learnedAt, as given by
	// the state.
	learnedAt     time.Time
	knownAtStart  bool
	elapsedBefore time.Duration

	// serving is the version that serves meanwhile; it may be empty, for leafs without a version. isServingKnown says
	// that it was determined.
	serving        string
	isServingKnown bool

	evaluator  Evaluator
	evaluation verdict.Evaluation
	rows       []evidence.Row
	newestAt   time.Time // when the newest of the rows arrived

	warnedAt time.Time // when the hold was last sent to the other evaluator nodes

	state          *rollout.State // the one in force for the order; nil before the first
	switchingSince time.Time
	// settledSince is when the nodes were known to be settled, or were no longer waited for; zero until then.
	settledSince time.Time
	status       FleetStatus
}

// refresh updates the order's state and serving version from the configuration in force.
func (o *activeOrder) refresh(now time.Time, view *catalog.View) {
	known := view.Rollouts[o.order.Service]
	if known.State != nil && known.State.BelongsTo(&o.order) {
		o.setState(now, known.State)
	} else {
		o.state = nil
	}
	if !o.isServingKnown {
		o.serving, o.isServingKnown = servingVersion(view, o.order)
	}
}

func (o *activeOrder) setState(now time.Time, state *rollout.State) {
	isFirst := o.state == nil
	if isFirst && o.knownAtStart {
		passed := time.Duration(o.learnedAt.UnixMilli()-state.StartedUnixMillis) * time.Millisecond
		o.elapsedBefore = min(max(passed, 0), o.order.Duration())
	}
	if state.Phase == rollout.Switching && o.phase() != rollout.Switching {
		o.switchingSince, o.settledSince, o.status = now, time.Time{}, FleetStatus{}
	}
	o.state = state
	o.serving, o.isServingKnown = state.Serving, true
}

// servingVersion returns the version that serves beside the target of an order: that of the rule in force, else that
// of most of the other leafs. If all leafs are of the target, that is the target itself. It returns false while there
// are no leafs.
func servingVersion(view *catalog.View, order rollout.Order) (string, bool) {
	if serving := view.Leafs.Rule(order.Service).Serving; serving != "" {
		return serving, true
	}
	counts := map[string]int{}
	for _, leaf := range view.Leafs.ByService(order.Service) {
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

// phase returns the phase of the roll-out, empty before the first state.
func (o *activeOrder) phase() rollout.Phase {
	if o.state == nil {
		return ""
	}
	return o.state.Phase
}

// elapsed returns the time since this node learned of the order or, if it started later, since the time that the
// order's state names. It may exceed the order's duration.
func (o *activeOrder) elapsed(now time.Time) time.Duration {
	return o.elapsedBefore + now.Sub(o.learnedAt)
}

// evaluate evaluates the counts. A bad finding is final, and a good one only changes to bad.
func (o *activeOrder) evaluate(now time.Time, factory EvaluatorFactory, rows []evidence.Row, newest time.Time) {
	o.rows, o.newestAt = rows, newest
	if o.evaluation.Finding == verdict.Bad || !o.isServingKnown {
		return
	}
	if o.evaluator == nil {
		o.evaluator = factory(o.serving, o.order.Target, o.order.Duration())
	}
	found := o.evaluator.Update(o.elapsed(now), rows)
	if found.Finding == verdict.Bad || o.evaluation.Finding != verdict.Good {
		o.evaluation = found
	}
}

// stateOf returns the state to write for a phase.
func (o *activeOrder) stateOf(now time.Time, phase rollout.Phase, reason, self string) rollout.State {
	started := now.Add(-o.elapsed(now)).UnixMilli()
	if o.state != nil {
		started = o.state.StartedUnixMillis
	}
	return rollout.State{
		Service: o.order.Service, OrderRevision: revision.Count(o.order.Revision), Phase: phase, Serving: o.serving, Target: o.order.Target,
		StartedUnixMillis: started, Reason: reason, DecidedBy: self,
	}
}

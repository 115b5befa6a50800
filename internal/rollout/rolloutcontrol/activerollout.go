package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// activeRollout is a spec under way as this node follows it.
type activeRollout struct {
	spec rollout.Spec
	// learnedAt is when this node learned of the spec. knownAtStart says that the spec was in the first
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

	warnedAt time.Time // when the abort was last sent to the other evaluator nodes

	state          *rollout.State // the one in force for the spec; nil before the first
	switchingSince time.Time
	// settledSince is when the nodes were known to be settled, or were no longer waited for; zero until then.
	settledSince time.Time
	status       FleetStatus
}

// refresh updates the spec's state and serving version from the configuration in force.
func (o *activeRollout) refresh(now time.Time, view *catalog.View) {
	known := view.Rollouts[o.spec.Service]
	if known.State != nil && known.State.BelongsTo(&o.spec) {
		o.setState(now, known.State)
	} else {
		o.state = nil
	}
	if !o.isServingKnown {
		o.serving, o.isServingKnown = servingVersion(view, o.spec)
	}
}

func (o *activeRollout) setState(now time.Time, state *rollout.State) {
	isFirst := o.state == nil
	if isFirst && o.knownAtStart {
		passed := time.Duration(o.learnedAt.UnixMilli()-state.StartedUnixMillis) * time.Millisecond
		o.elapsedBefore = min(max(passed, 0), o.spec.Duration())
	}
	if state.Phase == rollout.Switching && o.phase() != rollout.Switching {
		o.switchingSince, o.settledSince, o.status = now, time.Time{}, FleetStatus{}
	}
	o.state = state
	o.serving, o.isServingKnown = state.Serving, true
}

// servingVersion returns the version that serves beside the target of a spec: that of the rule in force, else that
// of most of the other leafs. If all leafs are of the target, that is the target itself. It returns false while there
// are no leafs.
func servingVersion(view *catalog.View, spec rollout.Spec) (string, bool) {
	if serving := view.Leafs.Rule(spec.Service).Serving; serving != "" {
		return serving, true
	}
	counts := map[string]int{}
	for _, leaf := range view.Leafs.ByService(spec.Service) {
		counts[leaf.Version]++
	}
	best, found := "", false
	for version, count := range counts {
		isBetter := !found || count > counts[best] || count == counts[best] && version < best
		if version != spec.Target && isBetter {
			best, found = version, true
		}
	}
	if !found && len(counts) > 0 {
		return spec.Target, true
	}
	return best, found
}

// phase returns the phase of the roll-out, empty before the first state.
func (o *activeRollout) phase() rollout.Phase {
	if o.state == nil {
		return ""
	}
	return o.state.Phase
}

// elapsed returns the time since this node learned of the spec or, if it started later, since the time that the
// spec's state names. It may exceed the spec's duration.
func (o *activeRollout) elapsed(now time.Time) time.Duration {
	return o.elapsedBefore + now.Sub(o.learnedAt)
}

// evaluate evaluates the counts. A bad finding is final, and a good one only changes to bad.
func (o *activeRollout) evaluate(now time.Time, factory EvaluatorFactory, rows []evidence.Row, newest time.Time) {
	o.rows, o.newestAt = rows, newest
	if o.evaluation.Finding == verdict.Bad || !o.isServingKnown {
		return
	}
	if o.evaluator == nil {
		o.evaluator = factory(o.serving, o.spec.Target, o.spec.Duration())
	}
	found := o.evaluator.Update(o.elapsed(now), rows)
	if found.Finding == verdict.Bad || o.evaluation.Finding != verdict.Good {
		o.evaluation = found
	}
}

// stateOf returns the state to write for a phase.
func (o *activeRollout) stateOf(now time.Time, phase rollout.Phase, reason, self string) rollout.State {
	started := now.Add(-o.elapsed(now)).UnixMilli()
	if o.state != nil {
		started = o.state.StartedUnixMillis
	}
	return rollout.State{
		Service: o.spec.Service, SpecRevision: revision.Count(o.spec.Revision), Phase: phase, Serving: o.serving, Target: o.spec.Target,
		StartedUnixMillis: started, Reason: reason, DecidedBy: self,
	}
}

package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// activeRollout is this node's view of a rollout that has not ended.
type activeRollout struct {
	spec rollout.Spec
	// learnedAt is when this node learned of the spec. knownAtStart reports whether the first configuration of this
	// process contained the spec. In that case elapsedBefore is the time from the start of the spec, taken from its
	// state, to learnedAt.
	learnedAt     time.Time
	knownAtStart  bool
	elapsedBefore time.Duration

	// serving is the version that serves during the rollout, empty for leafs without a version. It is valid if
	// isServingKnown is set.
	serving        string
	isServingKnown bool

	evaluator  Evaluator
	evaluation verdict.Evaluation
	rows       []evidence.Row
	newestAt   time.Time // arrival of the newest row

	abortSentAt time.Time // last time that the abort was sent to the other evaluator nodes

	state          *rollout.State // state in force for the spec; nil before the first
	switchingSince time.Time
	// settledSince is when all nodes had settled, or when the wait for them ended; zero until then.
	settledSince time.Time
	status       FleetStatus
}

// refresh updates the spec's state and serving version from the configuration in force.
func (r *activeRollout) refresh(now time.Time, view *catalog.View) {
	known := view.Rollouts[r.spec.Service]
	if known.State != nil && known.State.BelongsTo(&r.spec) {
		r.setState(now, known.State)
	} else {
		r.state = nil
	}
	if !r.isServingKnown {
		r.serving, r.isServingKnown = servingVersion(view, r.spec)
	}
}

func (r *activeRollout) setState(now time.Time, state *rollout.State) {
	isFirst := r.state == nil
	if isFirst && r.knownAtStart {
		elapsed := time.Duration(r.learnedAt.UnixMilli()-state.StartedUnixMillis) * time.Millisecond
		r.elapsedBefore = min(max(elapsed, 0), r.spec.Duration())
	}
	if state.Phase == rollout.PhaseSwitching && r.phase() != rollout.PhaseSwitching {
		r.switchingSince, r.settledSince, r.status = now, time.Time{}, FleetStatus{}
	}
	r.state = state
	r.serving, r.isServingKnown = state.Serving, true
}

// servingVersion returns the version that serves besides the target of a spec: the serving version of the rule in
// force, or else the most frequent other version among the leafs. If all leafs have the target version, it returns the
// target. It returns false while there are no leafs.
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

// phase returns the phase of the rollout, empty before the first state.
func (r *activeRollout) phase() rollout.Phase {
	if r.state == nil {
		return ""
	}
	return r.state.Phase
}

// elapsed returns the time since this node learned of the spec. If the node started after the spec, it returns the time
// since the start in the spec's state. It may exceed the spec's duration.
func (r *activeRollout) elapsed(now time.Time) time.Duration {
	return r.elapsedBefore + now.Sub(r.learnedAt)
}

// evaluate updates the evaluation from the counts. A bad finding is final, and a good one can only change to bad.
func (r *activeRollout) evaluate(now time.Time, factory EvaluatorFactory, rows []evidence.Row, newest time.Time) {
	r.rows, r.newestAt = rows, newest
	if r.evaluation.Finding == verdict.Bad || !r.isServingKnown {
		return
	}
	if r.evaluator == nil {
		r.evaluator = factory(r.serving, r.spec.Target, r.spec.Duration())
	}
	found := r.evaluator.Update(r.elapsed(now), rows)
	if found.Finding == verdict.Bad || r.evaluation.Finding != verdict.Good {
		r.evaluation = found
	}
}

// stateOf returns the state that records a phase.
func (r *activeRollout) stateOf(now time.Time, phase rollout.Phase, reason, self string) rollout.State {
	started := now.Add(-r.elapsed(now)).UnixMilli()
	if r.state != nil {
		started = r.state.StartedUnixMillis
	}
	return rollout.State{
		Service: r.spec.Service, SpecRevision: revision.Count(r.spec.Revision), Phase: phase, Serving: r.serving, Target: r.spec.Target,
		StartedUnixMillis: started, Reason: reason, DecidedBy: self,
	}
}

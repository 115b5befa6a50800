package rolloutcontrol

import (
	"fmt"
	"time"

	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// For short specs these divisors of the spec's duration limit the rollback margin and the takeover pause, so that the
// evaluator nodes can act before a spec of one second ends. The first state may take longer, because nothing waits for
// it.
const (
	marginDivisor     = 10
	takeoverDivisor   = 20
	firstStateDivisor = 4
)

// The final watch, during which a version with all requests is still evaluated, takes the spec's duration divided by
// finalWatchDivisor, but at least finalWatchReports report intervals.
const (
	finalWatchDivisor = 10
	finalWatchReports = 3
)

// nextPhase returns the phase that is due and the reason, if any. registered is the fingerprint of the registered
// nodes. A target that already serves has succeeded. A version that fails evaluation is rolled back in any phase; one
// that passes moves to PhaseSwitching, see nextWhileSwitching. One that has not passed by the rollback margin is rolled
// back, so that the outcome is written before the spec's end. Otherwise the first state has PhaseCanary.
func (r *activeRollout) nextPhase(now time.Time, cfg Config, registered uint64) (rollout.Phase, string) {
	switch {
	case r.state == nil && r.isServingKnown && r.serving == r.spec.Target:
		return rollout.PhaseSucceeded, "the version serves already"
	case r.evaluation.Finding == verdict.Bad:
		return rollout.PhaseRolledBack, r.evaluation.Reason
	case r.phase() == rollout.PhaseSwitching:
		return r.nextWhileSwitching(now, cfg, registered)
	case r.evaluation.Finding == verdict.Good:
		return rollout.PhaseSwitching, r.evaluation.Reason
	case r.elapsed(now) >= r.spec.Duration()-cfg.rollbackMargin(r.spec.Duration()):
		return rollout.PhaseRolledBack, undecidedReason(r.spec.Target, r.rows)
	case r.state == nil && r.isServingKnown:
		return rollout.PhaseCanary, ""
	default:
		return "", ""
	}
}

// nextWhileSwitching returns the phase that follows PhaseSwitching, if any. The rollout succeeds when all nodes that
// answered are settled, the final watch is over, and all registered nodes have answered or SettleWait has passed. A
// version is not rolled back because of slow nodes: SettleWait after the spec's end the rollout succeeds in any case.
func (r *activeRollout) nextWhileSwitching(now time.Time, cfg Config, registered uint64) (rollout.Phase, string) {
	isWaitOver := now.Sub(r.switchingSince) >= cfg.SettleWait
	isSettled := r.status.Answered > 0 && r.status.LowestSettled >= r.state.Revision
	isDone := isSettled && (isWaitOver || r.status.Registered == registered)
	switch {
	case isDone && !r.isFinalWatchOver(now, cfg):
		return "", ""
	case isSettled && r.status.Registered == registered:
		return rollout.PhaseSucceeded, "all nodes are settled"
	case isSettled && isWaitOver:
		return rollout.PhaseSucceeded, "all nodes that answer are settled"
	case isWaitOver && r.elapsed(now) >= r.spec.Duration()+cfg.SettleWait:
		return rollout.PhaseSucceeded, "found good, and the time is over"
	default:
		return "", ""
	}
}

// isFinalWatchOver reports whether the version has had all requests for the duration of the final watch, or the spec's
// duration has ended. Without the final watch a version that fails only under full load could succeed, and the old
// leafs could stop, before the failures are counted.
func (r *activeRollout) isFinalWatchOver(now time.Time, cfg Config) bool {
	if r.settledSince.IsZero() {
		r.settledSince = now
	}
	duration := r.spec.Duration()
	return now.Sub(r.settledSince) >= cfg.finalWatch(duration) || r.elapsed(now) >= duration
}

// undecidedReason returns the reason for the rollback of a version that did not pass evaluation in time.
func undecidedReason(target string, rows []evidence.Row) string {
	for _, counts := range countVersions(rows) {
		if counts.Version == target {
			return fmt.Sprintf("not found good in time: %d of %d attempts failed", counts.Failures, counts.Attempts)
		}
	}
	return "not found good in time: no attempt was counted"
}

// finalWatch returns how long a version must have had all requests before a spec with the given duration succeeds.
func (c Config) finalWatch(duration time.Duration) time.Duration {
	return max(duration/finalWatchDivisor, finalWatchReports*c.ReportInterval)
}

// rollbackMargin returns how long before a spec's end a version that has not passed evaluation is rolled back.
func (c Config) rollbackMargin(duration time.Duration) time.Duration {
	return min(c.RollbackMargin, duration/marginDivisor)
}

// takeoverPause returns the additional time that each evaluator node waits, compared with the preceding rank, before it
// writes a phase.
func (c Config) takeoverPause(phase rollout.Phase, duration time.Duration) time.Duration {
	if phase == rollout.PhaseCanary {
		return min(c.TakeoverPause, duration/firstStateDivisor)
	}
	return min(c.TakeoverPause, duration/takeoverDivisor)
}

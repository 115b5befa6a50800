package rolloutcontrol

import (
	"fmt"
	"time"

	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// For short specs the rollback margin and the takeover pause are at most these fractions of the spec's duration, so that
// a spec of a second is not over before its evaluator nodes have acted. The first state may take longer: nothing waits for it.
const (
	marginDivisor     = 10
	takeoverDivisor   = 20
	firstStateDivisor = 4
)

// The final watch of a version that has all requests takes this fraction of the spec's duration, as the move to the
// version does, but at least this many report intervals.
const (
	finalWatchDivisor = 10
	finalWatchReports = 3
)

// nextPhase decides which phase is to be written now and why; the phase is empty if none is. Its inputs are the
// finding about the version, the state in force, the time since the spec, and registered, the fingerprint of the
// registered nodes.
//
// A spec for the version that serves already has succeeded. A version found bad is rolled back in any phase. One
// found good moves to switching, and from there to succeeded by nextWhileSwitching. One not found good by the
// rollback margin before the spec's end is rolled back, so that the outcome is written in time. Otherwise the first
// state is canary.
func (o *activeRollout) nextPhase(now time.Time, cfg Config, registered uint64) (rollout.Phase, string) {
	switch {
	case o.state == nil && o.isServingKnown && o.serving == o.spec.Target:
		return rollout.Succeeded, "the version serves already"
	case o.evaluation.Finding == verdict.Bad:
		return rollout.RolledBack, o.evaluation.Reason
	case o.phase() == rollout.Switching:
		return o.nextWhileSwitching(now, cfg, registered)
	case o.evaluation.Finding == verdict.Good:
		return rollout.Switching, o.evaluation.Reason
	case o.elapsed(now) >= o.spec.Duration()-cfg.rollbackMargin(o.spec.Duration()):
		return rollout.RolledBack, undecidedReason(o.spec.Target, o.rows)
	case o.state == nil && o.isServingKnown:
		return rollout.Canary, ""
	default:
		return "", ""
	}
}

// nextWhileSwitching decides when the switching phase has succeeded: the nodes that answer are settled, the final
// watch is over, and all registered nodes answered or SettleWait has passed. A good version is not rolled back
// because of slow nodes: SettleWait after the spec's end it succeeds in any case.
func (o *activeRollout) nextWhileSwitching(now time.Time, cfg Config, registered uint64) (rollout.Phase, string) {
	isWaitOver := now.Sub(o.switchingSince) >= cfg.SettleWait
	isSettled := o.status.Answered > 0 && o.status.LowestSettled >= o.state.Revision
	isDone := isSettled && (isWaitOver || o.status.Registered == registered)
	switch {
	case isDone && !o.isFinalWatchOver(now, cfg):
		return "", ""
	case isSettled && o.status.Registered == registered:
		return rollout.Succeeded, "all nodes are settled"
	case isSettled && isWaitOver:
		return rollout.Succeeded, "all nodes that answer are settled"
	case isWaitOver && o.elapsed(now) >= o.spec.Duration()+cfg.SettleWait:
		return rollout.Succeeded, "found good, and the time is over"
	default:
		return "", ""
	}
}

// isFinalWatchOver reports whether the version had all requests for the final watch, or the spec's time is over.
// Without it a spec would succeed, and the old leafs might stop, before a version that fails only under full load
// has shown it.
func (o *activeRollout) isFinalWatchOver(now time.Time, cfg Config) bool {
	if o.settledSince.IsZero() {
		o.settledSince = now
	}
	duration := o.spec.Duration()
	return now.Sub(o.settledSince) >= cfg.finalWatch(duration) || o.elapsed(now) >= duration
}

// undecidedReason returns the reason for rolling back a version that was not found good in time.
func undecidedReason(target string, rows []evidence.Row) string {
	for _, one := range countVersions(rows) {
		if one.Version == target {
			return fmt.Sprintf("not found good in time: %d of %d attempts failed", one.Failures, one.Attempts)
		}
	}
	return "not found good in time: no attempt was counted"
}

// finalWatch returns how long a version must have had all requests before a spec of a duration succeeds.
func (c Config) finalWatch(duration time.Duration) time.Duration {
	return max(duration/finalWatchDivisor, finalWatchReports*c.ReportInterval)
}

// rollbackMargin returns how long before a spec's end a version that was not found good is rolled back.
func (c Config) rollbackMargin(duration time.Duration) time.Duration {
	return min(c.RollbackMargin, duration/marginDivisor)
}

// takeoverPause returns how much longer each evaluator node of a spec waits than the one before it by rank to write a phase.
func (c Config) takeoverPause(phase rollout.Phase, duration time.Duration) time.Duration {
	if phase == rollout.Canary {
		return min(c.TakeoverPause, duration/firstStateDivisor)
	}
	return min(c.TakeoverPause, duration/takeoverDivisor)
}

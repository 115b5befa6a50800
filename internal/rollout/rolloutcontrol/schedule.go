package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/wait"
)

// plannedWrite identifies a write: a phase of a spec that replaces the state at a revision.
type plannedWrite struct {
	phase        rollout.Phase
	specRevision int64
	replaced     int64
}

// writeSchedule decides when the state of one service is written. It allows one write at a time, does not repeat a
// successful write, and backs off while writes fail.
type writeSchedule struct {
	planned   plannedWrite
	since     time.Time // when the write was planned
	notBefore time.Time
	backoff   time.Duration
	isBusy    bool
	isDone    bool
}

// isDue reports whether a write must be sent now: it was planned at least delay ago, so that evaluator nodes of
// preceding ranks could write first, and the backoff after a failure has ended.
func (s *writeSchedule) isDue(now time.Time, planned plannedWrite, delay time.Duration) bool {
	if s.isBusy {
		return false
	}
	if planned != s.planned {
		*s = writeSchedule{planned: planned, since: now}
	}
	return !s.isDone && now.Sub(s.since) >= delay && !now.Before(s.notBefore)
}

// dueIn returns the time until a planned write is due, 0 if that does not depend on time.
func (s *writeSchedule) dueIn(now time.Time, delay time.Duration) time.Duration {
	if s.isBusy || s.isDone {
		return 0
	}
	return max(s.since.Add(delay).Sub(now), s.notBefore.Sub(now), 0)
}

// done records the outcome of a write. After a conflict the state in force is older than the stored one. The newer
// state arrives through the catalog, so the write is repeated only after the maximum backoff.
func (s *writeSchedule) done(now time.Time, err error, cfg Config) {
	s.isBusy = false
	switch {
	case err == nil:
		s.isDone = true
	case failure.Is(err, failure.RevisionConflict):
		s.notBefore = now.Add(cfg.MaxRetryPause)
	default:
		s.backoff = min(max(2*s.backoff, cfg.RetryPause), cfg.MaxRetryPause)
		s.notBefore = now.Add(wait.Jittered(s.backoff))
	}
}

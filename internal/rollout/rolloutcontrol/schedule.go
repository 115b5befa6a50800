package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/wait"
)

// plannedWrite identifies a write that an evaluator node wants done: a phase of a spec in place of the state at a revision.
type plannedWrite struct {
	phase    rollout.Phase
	specID   int64
	replaces int64
}

// writeSchedule decides when the state of one service is written: one write at a time, each successful write once,
// and with growing pauses while the store does not accept it.
type writeSchedule struct {
	planned   plannedWrite
	since     time.Time // when it was first wanted
	notBefore time.Time
	pause     time.Duration
	isBusy    bool
	isDone    bool
}

// isDue reports whether a write is to be sent now: it has been planned for the given delay, which leaves the
// evaluator nodes before this one their time, and no pause after a failure is running.
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

// done records the outcome of a write. After a conflict the state in force is older than the store's; the newer one
// arrives by itself, and the write is only tried again after the longest pause.
func (s *writeSchedule) done(now time.Time, err error, cfg Config) {
	s.isBusy = false
	switch {
	case err == nil:
		s.isDone = true
	case failure.Is(err, failure.RevisionConflict):
		s.notBefore = now.Add(cfg.MaximumRetryPause)
	default:
		s.pause = min(max(2*s.pause, cfg.RetryPause), cfg.MaximumRetryPause)
		s.notBefore = now.Add(wait.Jittered(s.pause))
	}
}

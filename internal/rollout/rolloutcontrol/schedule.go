package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/wait"
)

// plannedWrite identifies a write that a judge wants done: a phase of an order in place of the state at a revision.
type plannedWrite struct {
	phase    rollout.Phase
	order    int64
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

// isDue reports whether a write is to be sent now: it has been planned for the given wait, which leaves the judges
// before this one their time, and no pause after a failure is running.
func (p *writeSchedule) isDue(now time.Time, wants plannedWrite, wait time.Duration) bool {
	if p.isBusy {
		return false
	}
	if wants != p.planned {
		*p = writeSchedule{planned: wants, since: now}
	}
	return !p.isDone && now.Sub(p.since) >= wait && !now.Before(p.notBefore)
}

// dueIn returns the time until a planned write is due, 0 if that does not depend on time.
func (p *writeSchedule) dueIn(now time.Time, wait time.Duration) time.Duration {
	if p.isBusy || p.isDone {
		return 0
	}
	return max(p.since.Add(wait).Sub(now), p.notBefore.Sub(now), 0)
}

// done records the outcome of a write. After a conflict the state in force is older than the store's; the newer one
// arrives by itself, and the write is only tried again after the longest pause.
func (p *writeSchedule) done(now time.Time, err error, cfg Config) {
	p.isBusy = false
	switch {
	case err == nil:
		p.isDone = true
	case failure.Is(err, failure.RevisionConflict):
		p.notBefore = now.Add(cfg.MaximumRetryPause)
	default:
		p.pause = min(max(2*p.pause, cfg.RetryPause), cfg.MaximumRetryPause)
		p.notBefore = now.Add(wait.Jittered(p.pause))
	}
}

package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/wait"
)

// plannedWrite is a write that a judge wants done: a phase of an order in place of the state of a revision.
type plannedWrite struct {
	phase    rollout.Phase
	order    int64
	replaces int64
}

// writeSchedule paces the writes of one service's state: one at a time, one where all goes well, and with growing pauses where
// the store does not take it.
type writeSchedule struct {
	planned   plannedWrite
	since     time.Time // when it was first wanted
	notBefore time.Time
	pause     time.Duration
	isBusy    bool
	isDone    bool
}

// isDue reports whether a write should be sent now: it is wanted for so long that the judges before this one had
// their time.
func (p *writeSchedule) isDue(now time.Time, wants plannedWrite, wait time.Duration) bool {
	if p.isBusy {
		return false
	}
	if wants != p.planned {
		*p = writeSchedule{planned: wants, since: now}
	}
	return !p.isDone && now.Sub(p.since) >= wait && !now.Before(p.notBefore)
}

// dueIn gives how long it is until a write that was asked about is due, 0 when that is not a question of time.
func (p *writeSchedule) dueIn(now time.Time, wait time.Duration) time.Duration {
	if p.isBusy || p.isDone {
		return 0
	}
	return max(p.since.Add(wait).Sub(now), p.notBefore.Sub(now), 0)
}

// done notes how a write went. After a conflict the state in force is behind the store's; it comes by itself.
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

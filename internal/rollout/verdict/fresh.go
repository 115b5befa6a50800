package verdict

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// mostRows bounds the rows that are followed: 2 versions of 256 leafs each with 8 routes. Others are ignored.
const mostRows = 4096

// followed is what was last seen of a row.
type followed struct {
	// counted is what the failures were counted of, timed what the late answers were: the latter waits until the
	// usual latency is known.
	counted, timed     evidence.Tally
	countedAt, timedAt time.Duration
}

// ratio is late or failed answers among answers; parts of answers where they are discounted.
type ratio struct{ bad, all float64 }

func (r *ratio) add(other ratio) {
	r.bad += other.bad
	r.all += other.all
}

func (r ratio) times(factor float64) ratio { return ratio{r.bad * factor, r.all * factor} }

// fresh is what a row has more than at the update before: by signal, failures first, then what was failed or
// late by each limit.
type fresh struct {
	key     evidence.Key
	signals []ratio
	// moments is in how many moments of a leaf, at least one, the answers came that were late or not.
	moments float64
}

// follow gives what a row has more than before; limits are empty while the usual latency is unknown. An attempt
// without an answer says nothing of failures.
func (f *followed) follow(row evidence.Row, limits []time.Duration, elapsed time.Duration, cfg Config) fresh {
	signals := make([]ratio, 1+len(cfg.SlowFactors))
	signals[0] = ratio{
		bad: float64(max(0, row.Failures-f.counted.Failures)),
		all: float64(max(0, row.Answered.Total()-f.counted.Answered.Total())),
	}
	f.counted, f.countedAt = clone(row.Tally), elapsed
	if len(limits) == 0 {
		return fresh{row.Key, signals, 1}
	}
	moments := max(1, float64(elapsed-f.timedAt)/float64(cfg.Moment))
	for i, limit := range limits {
		late := lateSince(row.Tally, f.timed, limit)
		signals[i+1] = late.times(cfg.discount(late.all / moments))
	}
	f.timed, f.timedAt = f.counted, elapsed
	return fresh{row.Key, signals, moments}
}

// lateSince gives the answers that failed or took longer than a limit. Failures count as late, so that fast
// ones never make a version look faster.
func lateSince(now, before evidence.Tally, limit time.Duration) ratio {
	slow, known := now.Slow(limit)
	slowBefore, knownBefore := before.Slow(limit)
	all := max(0, known-knownBefore)
	bad := max(0, slow-slowBefore) + max(0, now.Failures-before.Failures)
	return ratio{bad: float64(min(bad, all)), all: float64(all)}
}

// discount gives what an answer counts among n of one leaf in a moment, since a pause delays all of them.
func (c *Config) discount(n float64) float64 { return 1 / (1 + max(0, n-1)*c.Alike) }

func clone(tally evidence.Tally) evidence.Tally {
	tally.Answered, tally.GivenUp = slices.Clone(tally.Answered), slices.Clone(tally.GivenUp)
	return tally
}

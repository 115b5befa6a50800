package verdict

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// maxRows bounds the evaluated rows: 2 versions with 256 leafs each on 8 routes. Others are ignored.
const maxRows = 4096

// lastCounts are the counts of a row at earlier updates.
type lastCounts struct {
	// counted is the tally of the last update, the base for new failures. timed is the base for new late answers. It is
	// empty until the route's median is known.
	counted, timed evidence.Tally
	timedAt        time.Duration // since the start of the spec
}

// ratio is the number of bad answers among all answers. Discounted answers count as fractions.
type ratio struct{ bad, all float64 }

func (r *ratio) add(other ratio) {
	r.bad += other.bad
	r.all += other.all
}

func (r ratio) times(factor float64) ratio { return ratio{r.bad * factor, r.all * factor} }

// increment is the growth of a row since the previous update, by signal: first failures, then attempts that failed or
// were late, with one ratio per slow factor.
type increment struct {
	key     evidence.Key
	signals []ratio
	// pauses is the time, in multiples of Config.LongestPause and at least 1, in which the late and timely answers
	// arrived.
	pauses float64
}

// increments returns the growth of the rows since the previous update.
func (e *Evaluator) increments(elapsed time.Duration, rows []evidence.Row) []increment {
	var added []increment
	for _, row := range rows {
		route := e.route(row.Route)
		before := e.lastSeen[row.Key]
		isCompared := row.Version == e.serving || row.Version == e.canary
		if route == nil || !isCompared || before == nil && len(e.lastSeen) >= maxRows {
			continue
		}
		if before == nil {
			before = &lastCounts{}
			e.lastSeen[row.Key] = before
		}
		if row.Attempts() < before.counted.Attempts() {
			continue
		}
		if row.Version == e.canary && len(e.leafs) == 0 {
			e.canarySeenAt = elapsed
		}
		e.count(row, before, route)
		added = append(added, before.advance(row, e.limitsOf(row.Key, route, elapsed), elapsed, e.cfg))
	}
	return added
}

// count adds the growth of a row to the totals of its version.
func (e *Evaluator) count(row evidence.Row, before *lastCounts, route *route) {
	total := &e.totals[0]
	if row.Version == e.canary {
		total = &e.totals[1]
		e.leafs[row.Leaf] = true
	}
	total.Attempts += row.Attempts() - before.counted.Attempts()
	total.Failures += row.Failures - before.counted.Failures
	if len(route.limits) > 0 {
		limit := route.limits[len(route.limits)/2]
		slow, _ := row.Slow(limit)
		slowBefore, _ := before.timed.Slow(limit)
		total.Slow += max(0, slow-slowBefore)
	}
}

// advance returns the growth of a row and stores its counts. limits is empty while the median is unknown. The failure
// signal ignores attempts without an answer.
func (l *lastCounts) advance(row evidence.Row, limits []time.Duration, elapsed time.Duration, cfg Config) increment {
	signals := make([]ratio, 1+len(cfg.SlowFactors))
	signals[0] = ratio{
		bad: float64(max(0, row.Failures-l.counted.Failures)),
		all: float64(max(0, row.Answered.Total()-l.counted.Answered.Total())),
	}
	l.counted = clone(row.Tally)
	if len(limits) == 0 {
		return increment{row.Key, signals, 1}
	}
	pauses := max(1, float64(elapsed-l.timedAt)/float64(cfg.LongestPause))
	for i, limit := range limits {
		late := lateSince(row.Tally, l.timed, limit)
		signals[i+1] = late.times(cfg.discount(late.all / pauses))
	}
	l.timed, l.timedAt = l.counted, elapsed
	return increment{row.Key, signals, pauses}
}

// lateSince returns the ratio of late attempts: those that took longer than a limit, whether answered or cancelled, and
// those that failed. Failures count as late, so that fast failures don't make a version appear faster.
func lateSince(now, before evidence.Tally, limit time.Duration) ratio {
	slow, known := now.Slow(limit)
	slowBefore, knownBefore := before.Slow(limit)
	all := max(0, known-knownBefore)
	bad := max(0, slow-slowBefore) + max(0, now.Failures-before.Failures)
	return ratio{bad: float64(min(bad, all)), all: float64(all)}
}

// discount returns the weight of each of n answers of a leaf within LongestPause, since one pause of the leaf may delay
// all of them.
func (c *Config) discount(n float64) float64 { return 1 / (1 + max(0, n-1)*c.Correlation) }

func clone(tally evidence.Tally) evidence.Tally {
	tally.Answered, tally.Cancelled = slices.Clone(tally.Answered), slices.Clone(tally.Cancelled)
	return tally
}

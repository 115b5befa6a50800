package verdict

import (
	"fmt"
	"math"
	"time"
)

// Signal is a sort of bad answer.
type Signal string

// The signals.
const (
	Failed Signal = "failed"
	Late   Signal = "failed or late"
)

// Bounds of a trial, and what it needs at least. Figures are as at DefaultConfig.
const (
	// mostRoutes bounds the routes that are followed; others are ignored.
	mostRoutes = 8
	// leastForMedian is the answers of the serving version that make a median of a route; not measured yet.
	leastForMedian = 5
	// leastToCompare is the serving version's answers lately without which a version is compared with the serving
	// version of another time; its limits are then aloneFactor times as long. Without it 1.0% instead of 0.45% of good
	// versions are found bad.
	leastToCompare = 5
	aloneFactor    = 2
	// answersOfFalseAlarm is the answers that Config.FalseAlarm is told for.
	answersOfFalseAlarm = 100
	// partOfMany is the least part of the threshold that one of three leafs or more may give, so that three suffice
	// whatever the threshold.
	partOfMany = 0.45
	// mostOfMoment is the most that late answers of a leaf in one moment give: it pauses in a tenth of moments, so a late
	// one is at most ten times likelier of a bad version. Without it 5 of 80 good versions with an ill leaf were found
	// bad in orders of 10 minutes at 200 requests a second, with it none.
	mostOfMoment = 2.3
	// mostForGood is the level above which a version isn't found good, mostByLittle where there is little evidence.
	// Without the first 1,576 instead of 1,487 of 4,992 bad versions were found good at some time, without the second
	// 18.2% instead of 16.9% served.
	mostForGood  = 2.0
	mostByLittle = 1.0
	// rareRoute is the part of a version's answers below which a route is rare; not measured yet.
	rareRoute = 0.1
	// leastTraffic is the serving version's answers below which a route has no traffic to speak of: of so many requests
	// the version on trial gets two by its share, of fewer maybe none. With 5 33.4% instead of 23.9% of good
	// versions with two routes and a request a second are refused, and 4.2% instead of 4.5% of those serve that fail on one
	// route (1000 seeds each).
	leastTraffic = 20
)

// evidenceAgainst is the sum that speaks most against the version, with what it stands for.
type evidenceAgainst struct {
	level  float64
	route  string
	signal int
	seen   ratio
}

// worst gives what speaks most against the version.
func (t *Evaluator) worst() evidenceAgainst {
	worst := evidenceAgainst{level: math.Inf(-1)}
	worst = t.worstOf(worst, "", t.pooled)
	for name, route := range t.routes {
		worst = t.worstOf(worst, name, route.cusums)
	}
	return worst
}

func (t *Evaluator) worstOf(worst evidenceAgainst, route string, cusums []*cusum) evidenceAgainst {
	most := t.mostOfLeaf(t.last)
	for i, s := range cusums {
		level := s.level(most)
		if level > worst.level || level == worst.level && route < worst.route {
			worst = evidenceAgainst{level: level, route: route, signal: i, seen: s.seen}
		}
	}
	return worst
}

// find sets the finding. Bad stays, Good stays unless it turns into Bad.
func (t *Evaluator) find(elapsed time.Duration, worst evidenceAgainst) {
	switch {
	case t.finding == Bad:
	case worst.level >= t.threshold():
		t.finding = Bad
	case t.finding == Undecided && t.isGood(elapsed, worst):
		t.finding = Good
	}
}

// isGood reports whether enough speaks for the version, at a time in the order.
func (t *Evaluator) isGood(elapsed time.Duration, worst evidenceAgainst) bool {
	part := float64(elapsed) / float64(t.duration)
	if part < t.cfg.GoodFrom || elapsed-t.since < t.settle() || t.pooled[0].seen.all < float64(t.cfg.LeastAnswers) {
		return false
	}
	return t.isGoodByEnough() || part >= t.cfg.GoodByLittle && t.isGoodByLittle(worst)
}

// isGoodByEnough reports whether on all routes together and on each with traffic the least bad version would have
// shown: by the leafs without the worst, which may be unlucky.
func (t *Evaluator) isGoodByEnough() bool {
	if !t.haveEnough(t.pooled) {
		return false
	}
	for _, route := range t.routes {
		if t.isRare(route) {
			if !t.haveNothingAgainst(route.cusums) {
				return false
			}
			continue
		}
		if !t.haveEnough(route.cusums) {
			return false
		}
	}
	return true
}

// isRare reports whether a route has hardly any of the answers, of either version.
func (t *Evaluator) isRare(route *route) bool {
	return route.cusums[0].seen.all < rareRoute*t.pooled[0].seen.all && !t.hasTraffic(route)
}

// hasTraffic reports whether a route has more than hardly any of the serving version's answers.
func (t *Evaluator) hasTraffic(route *route) bool {
	whole := 0.0
	for _, one := range t.routes {
		whole += one.usual.all[0].all
	}
	answers := route.usual.all[0].all
	return answers >= leastTraffic && answers >= rareRoute*whole
}

// hasShown reports whether the version answered on each route with traffic.
func (t *Evaluator) hasShown() bool {
	for _, route := range t.routes {
		if route.cusums[0].seen.all < float64(t.cfg.LeastAnswers) && t.hasTraffic(route) {
			return false
		}
	}
	return true
}

func (t *Evaluator) haveEnough(cusums []*cusum) bool {
	for _, s := range cusums {
		if s.clearedByOthers() > math.Log(t.cfg.Miss) || s.levelByOthers() > mostForGood {
			return false
		}
	}
	return true
}

func (t *Evaluator) haveNothingAgainst(cusums []*cusum) bool {
	for _, s := range cusums {
		if s.cleared(t.mostOfLeaf(t.last)) > 0 {
			return false
		}
	}
	return true
}

// isGoodByLittle reports whether there is something of each route with traffic, and all of it speaks for the version;
// no leaf is excused.
func (t *Evaluator) isGoodByLittle(worst evidenceAgainst) bool {
	return worst.level <= mostByLittle && t.hasShown() && t.haveNothingAgainst(t.all())
}

// settle is a tenth of a short order, since a judge must decide within it.
func (t *Evaluator) settle() time.Duration { return min(t.cfg.Settle, t.duration/10) }

func (t *Evaluator) judgement(worst evidenceAgainst) Judgement {
	signal := Failed
	if worst.signal > 0 {
		signal = Late
	}
	j := Judgement{
		Finding: t.finding, Serving: t.figures[0], Trial: t.figures[1], Route: worst.route, Signal: signal,
		Confidence: 1 / (1 + math.Exp(-worst.level)),
	}
	j.Reason = t.reason(j, worst)
	return j
}

// reason says the finding in a sentence.
func (t *Evaluator) reason(j Judgement, worst evidenceAgainst) string {
	route := "all routes"
	if worst.route != "" {
		route = "route " + worst.route
	}
	return fmt.Sprintf("Version %s is %s: on %s %.0f of %.0f answers %s, weight %.1f of %.1f; of all attempts %d of %d failed and %d were slow, of %s %d of %d and %d.",
		t.trial, j.Finding, route, worst.seen.bad, worst.seen.all, j.Signal, worst.level, t.threshold(),
		j.Trial.Failures, j.Trial.Attempts, j.Trial.Slow, t.serving, j.Serving.Failures, j.Serving.Attempts, j.Serving.Slow)
}

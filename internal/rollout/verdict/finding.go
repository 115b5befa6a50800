package verdict

import (
	"fmt"
	"math"
	"time"
)

// Bounds of an evaluation, and the minimum of evidence that it needs.
const (
	// maxRoutes bounds the routes that are evaluated; others are ignored.
	maxRoutes = 8
	// minAnswersForMedian is the number of answers of the serving version that a median of a route needs.
	minAnswersForMedian = 5
	// minAnswersToCompare is the number of recent answers of the serving version below which its limits come from
	// another time, and are widened by aloneFactor.
	minAnswersToCompare = 5
	aloneFactor         = 2
	// falseAlarmAnswers is the number of answers that Config.FalseAlarm applies to.
	falseAlarmAnswers = 100
	// minLeafFractionOfMany is the smallest part of the threshold that one of three leafs or more may contribute: any
	// three bad leafs reach the threshold, however high it is.
	minLeafFractionOfMany = 0.45
	// maxWeightPerMoment bounds the weight, a natural logarithm, of one leaf's late answers within one moment. A leaf
	// pauses in about a tenth of all moments, so that one late moment is at most ten times likelier for a bad
	// version.
	maxWeightPerMoment = 2.3
	// maxLevelForGood is the level above which a version is not found good on full evidence, maxLevelOnLittle the same
	// on little evidence. Both are natural logarithms of a likelihood ratio.
	maxLevelForGood  = 2.0
	maxLevelOnLittle = 1.0
	// rareRouteShare is the share of a version's answers below which a route is rare.
	rareRouteShare = 0.1
	// minTrafficAnswers is the number of answers of the serving version below which a route has no traffic to speak
	// of: of so few requests the canary version gets hardly any by its share.
	minTrafficAnswers = 20
)

// find decides whether the version is good, bad or undecided, by the strongest evidence against it and the time since
// the spec.
//
// Bad: the level of a signal, on a route or on all routes together, reaches the threshold. Bad is final. Good: isGood
// says so; a good version can still be found bad. Otherwise it stays undecided, and the caller rolls it back when the
// spec's time is over: letting a bad version serve costs all users, refusing a good one costs another spec.
func (e *Evaluator) find(elapsed time.Duration, worst strongestSignal) {
	switch {
	case e.finding == Bad:
	case worst.level >= e.threshold():
		e.finding = Bad
	case e.finding == Undecided && e.isGood(elapsed, worst):
		e.finding = Good
	}
}

// isGood decides whether a version is found good. It needs the fraction GoodFrom of the spec's duration, complete counts
// for minimumWatch, and LeastAnswers answers; then either full evidence or, from the part GoodByLittle on, little
// evidence that speaks for it throughout.
func (e *Evaluator) isGood(elapsed time.Duration, worst strongestSignal) bool {
	fraction := float64(elapsed) / float64(e.duration)
	if fraction < e.cfg.GoodFrom || elapsed-e.completeSince < e.minimumWatch() || e.pooled[0].seen.all < float64(e.cfg.LeastAnswers) {
		return false
	}
	return e.isGoodOnFullEvidence() || fraction >= e.cfg.GoodByLittle && e.isGoodOnLittleEvidence(worst)
}

// minimumWatch returns how long the counts must have been complete before a version is found good: Config.Settle, but
// at most a tenth of the spec's duration, since an evaluator node must decide within it.
func (e *Evaluator) minimumWatch() time.Duration { return min(e.cfg.Settle, e.duration/10) }

// isGoodOnFullEvidence reports whether the smallest share of bad answers that must be found is ruled out on all
// routes together and on each route with traffic, without the worst leaf, which may be unlucky. On a rare route it is
// enough that nothing speaks against the version.
func (e *Evaluator) isGoodOnFullEvidence() bool {
	if !e.ruleOutBad(e.pooled) {
		return false
	}
	for _, route := range e.routes {
		if e.isRare(route) {
			if !e.haveNoneAgainst(route.cusums) {
				return false
			}
			continue
		}
		if !e.ruleOutBad(route.cusums) {
			return false
		}
	}
	return true
}

// isGoodOnLittleEvidence reports whether the version has answered on each route with traffic and all evidence speaks
// for it; no leaf is left out.
func (e *Evaluator) isGoodOnLittleEvidence(worst strongestSignal) bool {
	return worst.level <= maxLevelOnLittle && e.hasAnswersOnAllRoutes() && e.haveNoneAgainst(e.allCusums())
}

// strongestSignal is the sum with the strongest evidence against the version.
type strongestSignal struct {
	level  float64
	route  string
	signal int
	seen   ratio
}

// worst returns the strongest evidence against the version, over all signals and routes.
func (e *Evaluator) worst() strongestSignal {
	worst := strongestSignal{level: math.Inf(-1)}
	worst = e.worstOf(worst, "", e.pooled)
	for name, route := range e.routes {
		worst = e.worstOf(worst, name, route.cusums)
	}
	return worst
}

func (e *Evaluator) worstOf(worst strongestSignal, route string, cusums []*cusum) strongestSignal {
	leafCap := e.leafCap(e.lastUpdate)
	for i, s := range cusums {
		level := s.level(leafCap)
		if level > worst.level || level == worst.level && route < worst.route {
			worst = strongestSignal{level: level, route: route, signal: i, seen: s.seen}
		}
	}
	return worst
}

// threshold returns the level from which a version is bad: the logarithm of the inverse of the accepted rate of false
// alarms, plus a term that grows with the answers, since a sum that restarts has more chances to exceed a fixed level
// by accident. The answers of the current update don't raise it, so that bad answers never excuse themselves.
func (e *Evaluator) threshold() float64 {
	return e.firstThreshold() + math.Log1p(float64(e.weighedCanaryAttempts)/falseAlarmAnswers)
}

// firstThreshold returns the threshold for the first answers. It is lower once the version was found good, because
// its share of the requests grows then.
func (e *Evaluator) firstThreshold() float64 {
	if e.finding == Good {
		return -math.Log(e.cfg.FalseAlarmMoving)
	}
	return -math.Log(e.cfg.FalseAlarm)
}

// leafCap returns the most that one leaf may contribute to a level, so that one bad leaf doesn't condemn a version. A
// leaf that is still the only one in the second half of the spec is taken for the version. Of two leafs each may
// contribute LeafFraction of the threshold. Of more, the cap grows more slowly than the threshold, down to
// minLeafFractionOfMany of it.
func (e *Evaluator) leafCap(elapsed time.Duration) float64 {
	switch {
	case len(e.leafs) == 1 && elapsed > e.duration/2:
		return math.MaxFloat64
	case len(e.leafs) <= 2:
		return e.cfg.LeafFraction * e.threshold()
	}
	return max(e.cfg.LeafFraction*e.firstThreshold(), minLeafFractionOfMany*e.threshold())
}

// isRare reports whether a route has hardly any of the answers of either version.
func (e *Evaluator) isRare(route *route) bool {
	return route.cusums[0].seen.all < rareRouteShare*e.pooled[0].seen.all && !e.hasTraffic(route)
}

// hasTraffic reports whether a route has a noticeable part of the serving version's answers.
func (e *Evaluator) hasTraffic(route *route) bool {
	whole := 0.0
	for _, one := range e.routes {
		whole += one.baseline.all[0].all
	}
	answers := route.baseline.all[0].all
	return answers >= minTrafficAnswers && answers >= rareRouteShare*whole
}

// hasAnswersOnAllRoutes reports whether the canary version has enough answers on each route with traffic.
func (e *Evaluator) hasAnswersOnAllRoutes() bool {
	for _, route := range e.routes {
		if route.cusums[0].seen.all < float64(e.cfg.LeastAnswers) && e.hasTraffic(route) {
			return false
		}
	}
	return true
}

// ruleOutBad reports whether each of the sums rules out, without its worst leaf, the smallest share that must be
// found.
func (e *Evaluator) ruleOutBad(cusums []*cusum) bool {
	for _, s := range cusums {
		if s.wholeLevelWithoutWorstLeaf() > math.Log(e.cfg.Miss) || s.levelWithoutWorstLeaf() > maxLevelForGood {
			return false
		}
	}
	return true
}

// haveNoneAgainst reports whether none of the sums, over the whole spec, speaks against the version.
func (e *Evaluator) haveNoneAgainst(cusums []*cusum) bool {
	for _, s := range cusums {
		if s.wholeLevel(e.leafCap(e.lastUpdate)) > 0 {
			return false
		}
	}
	return true
}

func (e *Evaluator) evaluation(worst strongestSignal) Evaluation {
	signal := Failed
	if worst.signal > 0 {
		signal = Late
	}
	j := Evaluation{
		Finding: e.finding, Serving: e.totals[0], Canary: e.totals[1], Route: worst.route, Signal: signal,
		Confidence: 1 / (1 + math.Exp(-worst.level)),
	}
	j.Reason = e.reason(j, worst)
	return j
}

// reason explains an evaluation in one sentence.
func (e *Evaluator) reason(j Evaluation, worst strongestSignal) string {
	route := "all routes"
	if worst.route != "" {
		route = "route " + worst.route
	}
	return fmt.Sprintf("Version %s is %s: on %s %.0f of %.0f answers %s, weight %.1f of %.1f; of all attempts %d of %d failed and %d were slow, of %s %d of %d and %d.",
		e.canary, j.Finding, route, worst.seen.bad, worst.seen.all, j.Signal, worst.level, e.threshold(),
		j.Canary.Failures, j.Canary.Attempts, j.Canary.Slow, e.serving, j.Serving.Failures, j.Serving.Attempts, j.Serving.Slow)
}

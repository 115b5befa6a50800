package verdict

import (
	"fmt"
	"math"
	"time"
)

// Bounds of an evaluation, and the minimum evidence that it requires.
const (
	// maxRoutes bounds the evaluated routes. Others are ignored.
	maxRoutes = 8
	// minAnswersForMedian is the minimum number of answers of the serving version for the median of a route.
	minAnswersForMedian = 5
	// minAnswersToCompare is the number of recent answers of the serving version below which its limits are outdated,
	// and are multiplied by staleFactor.
	minAnswersToCompare = 5
	staleFactor         = 2
	// falseAlarmAnswers is the number of answers that Config.FalseAlarmRate applies to.
	falseAlarmAnswers = 100
	// minLeafFractionOfMany is the smallest fraction of the threshold to which the contribution of one of three or more
	// leafs is capped. Three bad leafs can reach the threshold, however high it is.
	minLeafFractionOfMany = 0.45
	// maxWeightPerPause bounds the weight, a natural logarithm, of one leaf's late answers within Config.LongestPause.
	// A leaf pauses in about a tenth of these intervals, so one late interval is at most ten times as likely for a bad
	// version.
	maxWeightPerPause = 2.3
	// maxLevelOnFullEvidence and maxLevelOnLittleEvidence are the highest levels at which a version is found good on
	// full and on little evidence. Both are natural logarithms of a likelihood ratio.
	maxLevelOnFullEvidence   = 2.0
	maxLevelOnLittleEvidence = 1.0
	// rareRouteShare is the fraction of a version's answers below which a route is rare.
	rareRouteShare = 0.1
	// minTrafficAnswers is the number of answers of the serving version below which a route counts as having no
	// traffic: the canary's share of so few requests is close to zero.
	minTrafficAnswers = 20
)

// updateFinding sets the finding. The version is bad if the level of a signal, on a route or on all routes together,
// reaches the threshold; bad is final. It is good if isGood returns true, but can still become bad. Otherwise it stays
// undecided, and the caller rolls it back at the end of the spec: a bad version affects all users, a rejected good one
// costs only another spec.
func (e *Evaluator) updateFinding(elapsed time.Duration, worst strongestSignal) {
	switch {
	case e.finding == Bad:
	case worst.level >= e.threshold():
		e.finding = Bad
	case e.finding == Undecided && e.isGood(elapsed, worst):
		e.finding = Good
	}
}

// isGood reports whether the evidence suffices to find the version good. This requires that the fraction GoodFrom of
// the spec's duration has elapsed, that the counts have been complete for minWatch, and MinAnswers answers. It also
// requires full evidence, or after the fraction GoodOnLittleEvidenceFrom little evidence, none of it against the
// version.
func (e *Evaluator) isGood(elapsed time.Duration, worst strongestSignal) bool {
	fraction := float64(elapsed) / float64(e.duration)
	if fraction < e.cfg.GoodFrom || elapsed-e.completeSince < e.minWatch() || e.pooled[0].seen.all < float64(e.cfg.MinAnswers) {
		return false
	}
	return e.isGoodOnFullEvidence() || fraction >= e.cfg.GoodOnLittleEvidenceFrom && e.isGoodOnLittleEvidence(worst)
}

// minWatch returns how long the counts must have been complete before a version is found good: Config.Settle, but
// at most a tenth of the spec's duration, because an evaluator node must decide within the spec.
func (e *Evaluator) minWatch() time.Duration { return min(e.cfg.Settle, e.duration/10) }

// isGoodOnFullEvidence reports whether the smallest share of bad answers that must be detected is ruled out on all
// routes together and on each route with traffic. The worst leaf is excluded, because its bad answers may be due to
// chance. On a rare route it suffices that there is no evidence against the version.
func (e *Evaluator) isGoodOnFullEvidence() bool {
	if !e.rulesOutBad(e.pooled) {
		return false
	}
	for _, route := range e.routes {
		if e.isRare(route) {
			if !e.lacksEvidenceAgainst(route.cusums) {
				return false
			}
			continue
		}
		if !e.rulesOutBad(route.cusums) {
			return false
		}
	}
	return true
}

// isGoodOnLittleEvidence reports whether the version has answered on each route with traffic and no signal has evidence
// against it. No leaf is excluded.
func (e *Evaluator) isGoodOnLittleEvidence(worst strongestSignal) bool {
	return worst.level <= maxLevelOnLittleEvidence && e.hasAnswersOnAllRoutes() && e.lacksEvidenceAgainst(e.allCusums())
}

// strongestSignal is the signal with the strongest evidence against the version.
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

// threshold returns the level at which a version is bad: the negative logarithm of the accepted false-alarm rate, plus
// a term that grows with the number of answers, because a sum that restarts has more chances to exceed a fixed level.
// The answers of the current update don't raise the threshold, so that bad answers don't offset themselves.
func (e *Evaluator) threshold() float64 {
	return e.initialThreshold() + math.Log1p(float64(e.weighedCanaryAttempts)/falseAlarmAnswers)
}

// initialThreshold returns the threshold before any answers. It is lower after the version was found good, because its
// share of the requests then grows.
func (e *Evaluator) initialThreshold() float64 {
	if e.finding == Good {
		return -math.Log(e.cfg.FalseAlarmRateMoving)
	}
	return -math.Log(e.cfg.FalseAlarmRate)
}

// leafCap returns the maximum contribution of one leaf to a level, so that one bad leaf doesn't make a version bad. If
// there is only one leaf, the contribution is unlimited in the second half of the spec. Otherwise the cap with one or
// two leafs is LeafFraction of the threshold. With more leafs it grows more slowly than the threshold, but is at least
// minLeafFractionOfMany of it.
func (e *Evaluator) leafCap(elapsed time.Duration) float64 {
	switch {
	case len(e.leafs) == 1 && elapsed > e.duration/2:
		return math.MaxFloat64
	case len(e.leafs) <= 2:
		return e.cfg.LeafFraction * e.threshold()
	}
	return max(e.cfg.LeafFraction*e.initialThreshold(), minLeafFractionOfMany*e.threshold())
}

// isRare reports whether a route has less than rareRouteShare of the canary's answers and no traffic.
func (e *Evaluator) isRare(route *route) bool {
	return route.cusums[0].seen.all < rareRouteShare*e.pooled[0].seen.all && !e.hasTraffic(route)
}

// hasTraffic reports whether a route has at least minTrafficAnswers answers of the serving version, and at least the
// fraction rareRouteShare of the serving version's answers on all routes.
func (e *Evaluator) hasTraffic(route *route) bool {
	total := 0.0
	for _, other := range e.routes {
		total += other.baseline.all[0].all
	}
	answers := route.baseline.all[0].all
	return answers >= minTrafficAnswers && answers >= rareRouteShare*total
}

// hasAnswersOnAllRoutes reports whether the canary has at least MinAnswers answers on each route with traffic.
func (e *Evaluator) hasAnswersOnAllRoutes() bool {
	for _, route := range e.routes {
		if route.cusums[0].seen.all < float64(e.cfg.MinAnswers) && e.hasTraffic(route) {
			return false
		}
	}
	return true
}

// rulesOutBad reports whether each of the sums, without its worst leaf, rules out the smallest share of bad answers
// that must be detected.
func (e *Evaluator) rulesOutBad(cusums []*cusum) bool {
	for _, s := range cusums {
		if s.overallLevelWithoutWorstLeaf() > math.Log(e.cfg.MissRate) || s.levelWithoutWorstLeaf() > maxLevelOnFullEvidence {
			return false
		}
	}
	return true
}

// lacksEvidenceAgainst reports whether none of the sums over the whole spec is evidence against the version.
func (e *Evaluator) lacksEvidenceAgainst(cusums []*cusum) bool {
	for _, s := range cusums {
		if s.overallLevel(e.leafCap(e.lastUpdate)) > 0 {
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
	result := Evaluation{
		Finding: e.finding, Serving: e.totals[0], Canary: e.totals[1], Route: worst.route, Signal: signal,
		Confidence: 1 / (1 + math.Exp(-worst.level)),
	}
	result.Reason = e.reason(result, worst)
	return result
}

// reason returns the reason for a finding in one sentence.
func (e *Evaluator) reason(result Evaluation, worst strongestSignal) string {
	route := "all routes"
	if worst.route != "" {
		route = "route " + worst.route
	}
	return fmt.Sprintf("Version %s is %s: on %s %.0f of %.0f answers %s, weight %.1f of %.1f; of all attempts %d of %d failed and %d were slow, of %s %d of %d and %d.",
		e.canary, result.Finding, route, worst.seen.bad, worst.seen.all, result.Signal, worst.level, e.threshold(),
		result.Canary.Failures, result.Canary.Attempts, result.Canary.Slow, e.serving, result.Serving.Failures, result.Serving.Attempts, result.Serving.Slow)
}

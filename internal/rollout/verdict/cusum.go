package verdict

import "math"

// cusum is the sequential test of one signal on one route. For each share of bad answers tested for, it keeps Page's
// cumulative sum of the log-likelihood ratio of "the version has that share of bad answers beyond the baseline" to
// "it answers as the serving version does". A sum that speaks for the version restarts, so that earlier good answers
// don't excuse a version that turns bad. The contribution of a leaf is bounded.
type cusum struct {
	shares []float64
	// weights are the contributions of each leaf since the sum restarted, by share tested.
	weights []map[string]float64
	// whole is each leaf's contribution over the whole spec for minShare, the smallest share that must be ruled out.
	minShare float64
	whole    map[string]float64
	seen     ratio
}

func newCusum(shares []float64, minShare float64) *cusum {
	s := &cusum{shares: shares, minShare: minShare, whole: map[string]float64{}}
	for range shares {
		s.weights = append(s.weights, map[string]float64{})
	}
	return s
}

// observe weighs the answers of a leaf against baseline, the serving version's share of bad answers. limit bounds the
// weight that they may add against the version.
func (s *cusum) observe(leaf string, answers ratio, baseline, limit float64) {
	s.seen.add(answers)
	for i, share := range s.shares {
		s.weights[i][leaf] += min(limit, logLikelihoodRatio(answers, baseline, share))
	}
	s.whole[leaf] += min(limit, logLikelihoodRatio(answers, baseline, s.minShare))
}

// logLikelihoodRatio returns the natural logarithm of how much likelier the answers are if, beyond the baseline, the
// given share of answers is bad.
func logLikelihoodRatio(answers ratio, baseline, share float64) float64 {
	bad := baseline + share*(1-baseline)
	return answers.bad*math.Log(bad/baseline) + (answers.all-answers.bad)*math.Log((1-bad)/(1-baseline))
}

// restart resets the sums that speak for the version.
func (s *cusum) restart(leafCap float64) {
	for _, weight := range s.weights {
		if cappedSum(weight, leafCap) <= 0 {
			clear(weight)
		}
	}
}

// level returns the natural logarithm of the likelihood ratio, averaged over the shares.
func (s *cusum) level(leafCap float64) float64 {
	mean := 0.0
	for _, weight := range s.weights {
		mean += math.Exp(cappedSum(weight, leafCap)) / float64(len(s.shares))
	}
	return math.Log(mean)
}

// wholeLevel returns the log-likelihood ratio for the smallest share over the whole spec.
func (s *cusum) wholeLevel(leafCap float64) float64 { return cappedSum(s.whole, leafCap) }

// wholeLevelWithoutWorstLeaf is wholeLevel without the leaf that speaks most against the version. A single leaf is
// kept.
func (s *cusum) wholeLevelWithoutWorstLeaf() float64 { return sumWithoutWorst(s.whole) }

// levelWithoutWorstLeaf is level without the leaf that speaks most against the version. A single leaf is kept.
func (s *cusum) levelWithoutWorstLeaf() float64 {
	mean := 0.0
	for _, weight := range s.weights {
		mean += math.Exp(sumWithoutWorst(weight)) / float64(len(s.shares))
	}
	return math.Log(mean)
}

func cappedSum(weight map[string]float64, leafCap float64) float64 {
	sum := 0.0
	for _, w := range weight {
		sum += min(w, leafCap)
	}
	return sum
}

func sumWithoutWorst(weight map[string]float64) float64 {
	sum, worst := 0.0, 0.0
	for _, w := range weight {
		sum += w
		worst = max(worst, w)
	}
	if len(weight) == 1 {
		return sum
	}
	return sum - worst
}

package verdict

import "math"

// cusum is the sequential test of one signal on one route. For each tested share of bad answers it keeps Page's
// cumulative sum: the log-likelihood ratio of "the canary exceeds the baseline by this share" against "the canary
// answers like the serving version". A sum that falls to zero or below restarts, so that earlier good answers don't
// mask a version that turns bad. The contribution of a single leaf is capped.
type cusum struct {
	shares []float64
	// weights are the contributions of each leaf since the restart of the sum, by tested share.
	weights []map[string]float64
	// minShare is the smallest share of bad answers that must be ruled out. overall is the log-likelihood ratio for it
	// over the whole spec, by leaf.
	minShare float64
	overall  map[string]float64
	seen     ratio
}

func newCusum(shares []float64, minShare float64) *cusum {
	s := &cusum{shares: shares, minShare: minShare, overall: map[string]float64{}}
	for range shares {
		s.weights = append(s.weights, map[string]float64{})
	}
	return s
}

// observe adds the answers of a leaf. baseline is the serving version's share of bad answers, and limit bounds the
// weight that the answers may add to each sum.
func (s *cusum) observe(leaf string, answers ratio, baseline, limit float64) {
	s.seen.add(answers)
	for i, share := range s.shares {
		s.weights[i][leaf] += min(limit, logLikelihoodRatio(answers, baseline, share))
	}
	s.overall[leaf] += min(limit, logLikelihoodRatio(answers, baseline, s.minShare))
}

// logLikelihoodRatio returns the natural logarithm of the likelihood ratio of the answers: the given share of bad
// answers beyond the baseline against the baseline alone.
func logLikelihoodRatio(answers ratio, baseline, share float64) float64 {
	bad := baseline + share*(1-baseline)
	return answers.bad*math.Log(bad/baseline) + (answers.all-answers.bad)*math.Log((1-bad)/(1-baseline))
}

// restart resets the sums at or below zero.
func (s *cusum) restart(leafCap float64) {
	for _, weight := range s.weights {
		if cappedSum(weight, leafCap) <= 0 {
			clear(weight)
		}
	}
}

// level returns the natural logarithm of the likelihood ratio averaged over the tested shares.
func (s *cusum) level(leafCap float64) float64 {
	mean := 0.0
	for _, weight := range s.weights {
		mean += math.Exp(cappedSum(weight, leafCap)) / float64(len(s.shares))
	}
	return math.Log(mean)
}

// overallLevel returns the log-likelihood ratio for the smallest share over the whole spec.
func (s *cusum) overallLevel(leafCap float64) float64 { return cappedSum(s.overall, leafCap) }

// overallLevelWithoutWorstLeaf is like overallLevel, but excludes the leaf with the highest contribution. A single leaf
// is not excluded.
func (s *cusum) overallLevelWithoutWorstLeaf() float64 { return sumWithoutWorst(s.overall) }

// levelWithoutWorstLeaf is like level, but excludes the leaf with the highest contribution. A single leaf is not
// excluded.
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

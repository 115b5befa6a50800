package verdict

import "math"

// cusum weighs, on one route and by one signal, that a version answers badly against that it does as the serving
// version. Each share is Page's cumulative sum: it starts anew whenever it speaks for the version, so that good
// answers of long ago don't excuse one that turned bad. No leaf counts for more than a part.
type cusum struct {
	shares []float64
	// weight is what each leaf gave since the sum started anew, by share.
	weight []map[string]float64
	// clear is the sum of the whole order for the least share that must be ruled out.
	least float64
	clear map[string]float64
	seen  ratio
}

func newCusum(shares []float64, least float64) *cusum {
	s := &cusum{shares: shares, least: least, clear: map[string]float64{}}
	for range shares {
		s.weight = append(s.weight, map[string]float64{})
	}
	return s
}

// observe weighs what a leaf answered, which may give a most against the version; usual is the serving version's share
// of bad answers.
func (s *cusum) observe(leaf string, answers ratio, usual, most float64) {
	s.seen.add(answers)
	for i, share := range s.shares {
		s.weight[i][leaf] += min(most, logRatio(answers, usual, share))
	}
	s.clear[leaf] += min(most, logRatio(answers, usual, s.least))
}

// logRatio gives how much likelier, as a logarithm, answers are if a share more than usual is bad.
func logRatio(answers ratio, usual, share float64) float64 {
	bad := usual + share*(1-usual)
	return answers.bad*math.Log(bad/usual) + (answers.all-answers.bad)*math.Log((1-bad)/(1-usual))
}

// restart lets those sums start anew that speak for the version.
func (s *cusum) restart(mostOfLeaf float64) {
	for _, weight := range s.weight {
		if capped(weight, mostOfLeaf) <= 0 {
			clear(weight)
		}
	}
}

// level gives the logarithm of the mean over the shares of how much likelier a bad version is.
func (s *cusum) level(mostOfLeaf float64) float64 {
	mean := 0.0
	for _, weight := range s.weight {
		mean += math.Exp(capped(weight, mostOfLeaf)) / float64(len(s.shares))
	}
	return math.Log(mean)
}

// cleared gives the logarithm of how much likelier the least bad version is, over the whole order.
func (s *cusum) cleared(mostOfLeaf float64) float64 { return capped(s.clear, mostOfLeaf) }

// clearedByOthers is the same without the leaf that speaks most against the version; of a single leaf, with it.
func (s *cusum) clearedByOthers() float64 { return withoutWorst(s.clear) }

// levelByOthers is the level without the leaf that speaks most against the version.
func (s *cusum) levelByOthers() float64 {
	mean := 0.0
	for _, weight := range s.weight {
		mean += math.Exp(withoutWorst(weight)) / float64(len(s.shares))
	}
	return math.Log(mean)
}

func capped(weight map[string]float64, mostOfLeaf float64) float64 {
	sum := 0.0
	for _, w := range weight {
		sum += min(w, mostOfLeaf)
	}
	return sum
}

func withoutWorst(weight map[string]float64) float64 {
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

package verdict

import (
	"math"
	"time"
)

// The prior shares of bad answers of the serving version, weighted like assumedWeight answers: failures are rare, about
// a third of the answers exceed the lowest limit, which lies just above the median, and pauses of leafs make some
// answers exceed the higher limits.
const (
	assumedWeight   = 40.0
	assumedFailures = 0.005
	assumedSlowest  = 0.06
	assumedSlower   = 0.35
)

// Bounds of the baseline.
const (
	// minBaselineShare is the smallest baseline. With a baseline near zero a single failure would decide the test.
	minBaselineShare = 0.002
	// maxBaselineShare is the baseline above which a signal is ignored, because nearly all answers of both versions are
	// bad by this signal.
	maxBaselineShare = 0.7
	// recentWeight is the number of recent answers, or of answers in the same zone, that weigh as much as all answers
	// of the spec.
	recentWeight = 20.0
	// With at least outlierLeafs serving leafs, a leaf is excluded from the baseline if it has at least outlierBad bad
	// answers and more than outlierFactor times the share of the others, so that a broken serving leaf does not hide a
	// bad canary. This requires a row per serving leaf. It has no effect on rows of evidence.Collector, which counts
	// all serving leafs in one row.
	outlierFactor = 3.0
	outlierBad    = 3.0
	outlierLeafs  = 3
)

// baseline estimates the share of bad answers of the serving version on one route, by signal. Rows without leaf and
// zone are counted under the empty name in leafs and zones.
type baseline struct {
	leafs map[string][]ratio
	// all is the sum over all leafs, trimmed is the sum without outliers.
	all, trimmed []ratio
	// current counts the answers since the last update, recent counts answers with exponential decay, and zones is the
	// same as recent by zone.
	current, recent []ratio
	zones           map[string][]ratio
}

func newBaseline(signals int) *baseline {
	ratios := func() []ratio { return make([]ratio, signals) }
	return &baseline{
		leafs: map[string][]ratio{}, all: ratios(), trimmed: ratios(),
		current: ratios(), recent: ratios(), zones: map[string][]ratio{},
	}
}

// decay halves the weight of recent answers for each elapsed half-life, and clears the counts of the last update.
func (b *baseline) decay(elapsed, halfLife time.Duration) {
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	clear(b.current)
	scale(b.recent, factor)
	for _, zone := range b.zones {
		scale(zone, factor)
	}
}

func scale(ratios []ratio, factor float64) {
	for i := range ratios {
		ratios[i] = ratios[i].times(factor)
	}
}

// observe counts the answers of a serving leaf. observeRecent must be called after all answers of an update are
// counted.
func (b *baseline) observe(added increment) {
	leaf := sumsOf(b.leafs, added.key.Leaf, len(added.signals))
	for i, signal := range added.signals {
		leaf[i].add(signal)
		b.all[i].add(signal)
	}
}

// observeRecent counts the answers of a serving leaf as recent, unless the leaf is an outlier.
func (b *baseline) observeRecent(added increment) {
	zone := sumsOf(b.zones, added.key.Zone, len(added.signals))
	for i, signal := range added.signals {
		if !b.isOutlier(added.key.Leaf, i) {
			b.current[i].add(signal)
			b.recent[i].add(signal)
			zone[i].add(signal)
		}
	}
}

func sumsOf(sums map[string][]ratio, name string, signals int) []ratio {
	if sums[name] == nil {
		sums[name] = make([]ratio, signals)
	}
	return sums[name]
}

// isOutlier reports whether a leaf has a much higher share of bad answers than the other leafs together.
func (b *baseline) isOutlier(leaf string, signal int) bool {
	own, all := b.leafs[leaf][signal], b.all[signal]
	if len(b.leafs) < outlierLeafs || own.bad < outlierBad {
		return false
	}
	others := ratio{all.bad - own.bad, all.all - own.all}
	return own.bad*others.all > outlierFactor*others.bad*own.all && others.all > 0
}

// trim recomputes trimmed. It must be called after the answers of an update are counted.
func (b *baseline) trim() {
	clear(b.trimmed)
	for leaf, signals := range b.leafs {
		for i, signal := range signals {
			if !b.isOutlier(leaf, i) {
				b.trimmed[i].add(signal)
			}
		}
	}
}

// share returns the expected share of bad answers in a zone: the highest of the recent share, the share in this update,
// and the recent share in the zone if the zone has serving leafs. Bad answers that affect both versions at the same
// time are not attributed to the canary.
func (b *baseline) share(signal int, zone string) float64 {
	recent := shrink(b.recent[signal], shrink(b.trimmed[signal], assumed(signal), assumedWeight), recentWeight)
	share := max(recent, shrink(b.current[signal], recent, recentWeight))
	if signals := b.zones[zone]; signals != nil {
		share = max(share, shrink(signals[signal], recent, recentWeight))
	}
	return max(share, minBaselineShare)
}

// assumed returns the prior share of bad answers of a signal.
func assumed(signal int) float64 {
	switch signal {
	case 0:
		return assumedFailures
	case 1:
		return assumedSlower
	}
	return assumedSlowest
}

// shrink returns the counted share, shrunk towards a prior share with the weight of the given number of answers.
func shrink(counted ratio, prior, weight float64) float64 {
	return (counted.bad + prior*weight) / (counted.all + weight)
}

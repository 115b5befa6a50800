package verdict

import (
	"math"
	"time"
)

// Shares of bad answers that are assumed before the serving version has answered, weighted as if assumedWeight answers
// had been seen: failures are rare, about a third of the answers exceed the lowest limit, which lies close above the
// median, and pauses of leafs make some answers exceed the others.
const (
	assumedWeight   = 40.0
	assumedFailures = 0.005
	assumedSlowest  = 0.06
	assumedSlower   = 0.35
)

// Bounds of the baseline.
const (
	// minBaselineShare is the smallest baseline. With a baseline near zero a single failure would decide.
	minBaselineShare = 0.002
	// maxBaselineShare is the share above which a signal says nothing, because nearly all answers of both versions
	// are bad by it.
	maxBaselineShare = 0.7
	// recentWeight is the number of recent answers (or answers in the same zone) that weigh as much as the whole
	// spec.
	recentWeight = 20.0
	// Of at least outlierLeafs serving leafs one is left out of the baseline if it has at least outlierBad bad answers
	// and more than outlierFactor times the share of the others: one broken leaf must not excuse a bad version. The
	// rule needs a row for each serving leaf; evidence.Collector counts all of them in one, to which it never applies.
	outlierFactor = 3.0
	outlierBad    = 3.0
	outlierLeafs  = 3
)

// baseline is the share of bad answers of the serving version on one route, by signal. leafs and zones have one entry
// with an empty name for rows without leaf and zone.
type baseline struct {
	leafs map[string][]ratio
	// all is the sum over all leafs, trimmed the sum without outliers.
	all, trimmed []ratio
	// current covers the answers since the last update, recent the recent ones with exponential decay, and zones the
	// recent ones in each zone.
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

// decay halves the weight of recent answers for each half-life that passed, and starts a new update.
func (b *baseline) decay(passed, halfLife time.Duration) {
	factor := math.Exp2(-float64(passed) / float64(halfLife))
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

// observe counts the answers of a serving leaf. Call observeRecent after all answers of an update are counted.
func (b *baseline) observe(added increment) {
	leaf := sumsOf(b.leafs, added.key.Leaf, len(added.signals))
	for i, signal := range added.signals {
		leaf[i].add(signal)
		b.all[i].add(signal)
	}
}

// observeRecent counts the answers of a serving leaf as recent ones unless the leaf is an outlier.
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

// isOutlier reports whether a leaf is far worse than the others together.
func (b *baseline) isOutlier(leaf string, signal int) bool {
	own, all := b.leafs[leaf][signal], b.all[signal]
	if len(b.leafs) < outlierLeafs || own.bad < outlierBad {
		return false
	}
	others := ratio{all.bad - own.bad, all.all - own.all}
	return own.bad*others.all > outlierFactor*others.bad*own.all && others.all > 0
}

// trim recomputes trimmed after the answers of an update were counted.
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

// share returns the expected share of bad answers in a zone: the highest of the recent share, that of this update and
// that of the zone, if any serving leaf of it was counted. What affects both versions at once is not the fault of the
// new one.
func (b *baseline) share(signal int, zone string) float64 {
	lately := shrink(b.recent[signal], shrink(b.trimmed[signal], assumed(signal), assumedWeight), recentWeight)
	share := max(lately, shrink(b.current[signal], lately, recentWeight))
	if signals := b.zones[zone]; signals != nil {
		share = max(share, shrink(signals[signal], lately, recentWeight))
	}
	return max(share, minBaselineShare)
}

// assumed returns the share that a signal is assumed to have before anything is known.
func assumed(signal int) float64 {
	switch signal {
	case 0:
		return assumedFailures
	case 1:
		return assumedSlower
	}
	return assumedSlowest
}

// shrink returns the counted share, drawn towards a prior share that weighs as much as the given number of answers.
func shrink(counted ratio, prior, weight float64) float64 {
	return (counted.bad + prior*weight) / (counted.all + weight)
}

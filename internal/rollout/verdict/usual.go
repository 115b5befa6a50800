package verdict

import (
	"math"
	"time"
)

// What is assumed of a serving version that little is known of, as if so many answers had been seen. Failures are
// rare; about a third of answers exceed the first limit, which lies within half an octave above the median, and
// pauses take 4% of the time. A weight of 5 refuses 18.2% of good versions instead of 17.0% (as at DefaultConfig).
const (
	assumedWeight   = 40.0
	assumedFailures = 0.005
	assumedSlowest  = 0.06
	assumedSlower   = 0.35
)

// What is made of what the serving version does.
const (
	// leastUsual is the least share of bad answers that is taken for usual, whatever was seen. With 0.01 0.15% instead of
	// 0.45% of good versions are found bad, and 17.5% instead of 16.9% of bad ones serve.
	leastUsual = 0.002
	// mostUsual is the share above which a signal tells nothing: nearly all answers of both versions are bad by it.
	// Without it 29% of 24 good versions were found bad in a burst of 40 s at 200 requests a second.
	mostUsual = 0.7
	// nearWeight is the answers of the same time (and of the same zone) that weigh as much as the whole order. With 5
	// 16.6% of good versions are refused and 16.3% of bad ones serve, within what the seeds vary.
	nearWeight = 20.0
	// A serving leaf is left out, so that it excuses nothing, if it is so many times worse than the others. Without it
	// 97% of 200 versions that fail a tenth served beside a serving leaf that fails 40%, with it 2.5%.
	outlierFactor = 3.0
	outlierBad    = 3.0
	outlierLeafs  = 3
)

// usual is what the serving version does on one route, by signal.
type usual struct {
	leafs map[string][]ratio
	// all is what they did together, whole the same without those far worse than the others.
	all, whole []ratio
	// now is what it did since the last update, near lately, and zones lately in each zone.
	now, near []ratio
	zones     map[string][]ratio
}

func newUsual(signals int) *usual {
	ratios := func() []ratio { return make([]ratio, signals) }
	return &usual{
		leafs: map[string][]ratio{}, all: ratios(), whole: ratios(),
		now: ratios(), near: ratios(), zones: map[string][]ratio{},
	}
}

// fade halves the weight of what was lately in each half-life that passed, and begins another update.
func (u *usual) fade(passed, halfLife time.Duration) {
	factor := math.Exp2(-float64(passed) / float64(halfLife))
	clear(u.now)
	scale(u.near, factor)
	for _, zone := range u.zones {
		scale(zone, factor)
	}
}

func scale(ratios []ratio, factor float64) {
	for i := range ratios {
		ratios[i] = ratios[i].times(factor)
	}
}

// observe counts what a serving leaf answered; call watch with it once all of an update are counted.
func (u *usual) observe(f fresh) {
	leaf := sumsOf(u.leafs, f.key.Leaf, len(f.signals))
	for i, signal := range f.signals {
		leaf[i].add(signal)
		u.all[i].add(signal)
	}
}

// watch counts what a serving leaf answered lately, unless it is far worse than the others.
func (u *usual) watch(f fresh) {
	zone := sumsOf(u.zones, f.key.Zone, len(f.signals))
	for i, signal := range f.signals {
		if !u.isOutlier(f.key.Leaf, i) {
			u.now[i].add(signal)
			u.near[i].add(signal)
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
func (u *usual) isOutlier(leaf string, signal int) bool {
	own, all := u.leafs[leaf][signal], u.all[signal]
	if len(u.leafs) < outlierLeafs || own.bad < outlierBad {
		return false
	}
	others := ratio{all.bad - own.bad, all.all - own.all}
	return own.bad*others.all > outlierFactor*others.bad*own.all && others.all > 0
}

// sum derives the whole once the update's counts were observed.
func (u *usual) sum() {
	clear(u.whole)
	for leaf, signals := range u.leafs {
		for i, signal := range signals {
			if !u.isOutlier(leaf, i) {
				u.whole[i].add(signal)
			}
		}
	}
}

// share gives the usual share of bad answers in a zone now: the highest of those lately, at this moment and in the
// zone, since what begins to befall both versions is not the fault of one.
func (u *usual) share(signal int, zone string) float64 {
	lately := towards(u.near[signal], towards(u.whole[signal], assumed(signal), assumedWeight), nearWeight)
	share := max(lately, towards(u.now[signal], lately, nearWeight))
	if signals := u.zones[zone]; signals != nil {
		share = max(share, towards(signals[signal], lately, nearWeight))
	}
	return max(share, leastUsual)
}

func assumed(signal int) float64 {
	switch signal {
	case 0:
		return assumedFailures
	case 1:
		return assumedSlower
	}
	return assumedSlowest
}

// towards gives the share of what was counted, drawn towards another share by its weight in answers.
func towards(counted ratio, other, weight float64) float64 {
	return (counted.bad + other*weight) / (counted.all + weight)
}

package verdicttest

import (
	"math"
	"math/rand/v2"
	"time"
)

// Behaviour of leafs. The spread is of the logarithm of the latency.
const (
	firstMedian = 15 * time.Millisecond
	nextMedian  = 45 * time.Millisecond
	spread      = 0.35
	deadline    = 1500 * time.Millisecond
	zones       = 3

	coldFactor = 1.6
	coldFor    = 3 * time.Second

	slowLeafFactor = 5
	grayShare      = 0.4
	flapPeriod     = 1500 * time.Millisecond
	bothFailShare  = 0.15
	burstFactor    = 3
	// Passing incidents last for the middle third of the spec.
	incidentFrom = 1.0 / 3
	incidentTo   = 2.0 / 3
)

// A leaf pauses for 100 to 250 ms every 2.4 to 6 s, 4% of the time.
const (
	shortestPause = 100 * time.Millisecond
	longestPause  = 250 * time.Millisecond
	pauseShare    = 0.04
)

// leaf is one leaf of a version.
type leaf struct {
	id       string
	zone     int
	number   int
	isCanary bool
	pause    time.Duration
	phase    time.Duration
}

func newLeaf(id string, number int, isCanary bool, random *rand.Rand) leaf {
	pause := shortestPause + time.Duration(random.Int64N(int64(longestPause-shortestPause)))
	period := time.Duration(float64(pause) / pauseShare)
	return leaf{
		id: id, zone: number % zones, number: number, isCanary: isCanary, pause: pause,
		phase: time.Duration(random.Int64N(int64(period))),
	}
}

// paused returns for how long a pause still lasts at a time, 0 for none.
func (l *leaf) paused(at time.Duration) time.Duration {
	period := time.Duration(float64(l.pause) / pauseShare)
	return max(0, l.pause-(at+l.phase)%period)
}

// answer is the outcome of an attempt.
type answer struct {
	at          time.Duration
	took        time.Duration
	failed      bool
	isAbandoned bool
	// isBad says that the version's fault made it bad.
	isBad bool
	route int
	leaf  *leaf
}

// attempt plays a request at a leaf; loaded says that the leaf gets as many requests as in full service.
func (p *simulation) attempt(at time.Duration, l *leaf, route int, loaded bool) answer {
	work := firstMedian
	if route > 0 {
		work = nextMedian
	}
	factor := math.Exp(spread * p.random.NormFloat64())
	a := answer{route: route, leaf: l}
	if l.isCanary && at < coldFor {
		factor *= coldFactor
	}
	if l.isCanary && p.isFaultActive(at, route, loaded) {
		factor = p.applyFault(&a, factor)
	}
	a.took = time.Duration(factor * float64(work))
	p.applyIncident(&a, at, l)
	a.took += l.paused(at)
	if a.took > deadline {
		a.took, a.isAbandoned, a.failed = deadline, true, false
	}
	a.at = at + a.took
	return a
}

// isFaultActive reports whether the version's fault affects a request.
func (p *simulation) isFaultActive(at time.Duration, route int, loaded bool) bool {
	fault := p.of.Fault
	return float64(at) >= fault.From*float64(p.of.Duration) &&
		(!fault.LastRoute || route == p.of.Routes-1) && (!fault.UnderLoad || loaded)
}

func (p *simulation) applyFault(a *answer, factor float64) float64 {
	fault := p.of.Fault
	if p.random.Float64() < fault.Failing {
		a.failed, a.isBad = true, true
	}
	if fault.Slow > 1 && p.random.Float64() < fault.SlowShare {
		a.isBad = true
		return factor * fault.Slow
	}
	return factor
}

// applyIncident applies the incident to an attempt.
func (p *simulation) applyIncident(a *answer, at time.Duration, l *leaf) {
	fraction := float64(at) / float64(p.of.Duration)
	passing := fraction >= incidentFrom && fraction < incidentTo
	chosen := l.isCanary && l.number == 0
	switch p.of.Incident {
	case DeadLeaf:
		a.dropAnswer(chosen, time.Millisecond)
	case SlowLeaf:
		if chosen {
			a.took *= slowLeafFactor
		}
	case GrayLeaf:
		a.failed = a.failed || chosen && p.random.Float64() < grayShare
	case Flapping:
		a.dropAnswer(chosen && at/flapPeriod%2 == 0, deadline)
	case ZoneCut:
		a.dropAnswer(passing && l.zone == 0, deadline)
	case Burst:
		if passing {
			a.took *= burstFactor
		}
	case BothFail:
		a.failed = a.failed || passing && p.random.Float64() < bothFailShare
	case OldGrayLeaf:
		a.failed = a.failed || !l.isCanary && l.number == 0 && p.random.Float64() < grayShare
	}
}

// dropAnswer makes an attempt end without an answer if it is lost.
func (a *answer) dropAnswer(lost bool, after time.Duration) {
	if lost {
		a.took, a.failed, a.isAbandoned = after, false, true
	}
}

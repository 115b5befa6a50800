package verdicttest

import (
	"math"
	"math/rand/v2"
	"time"
)

// Behavior of leafs. spread is the standard deviation of the logarithm of the latency.
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
	// Temporary incidents last for the middle third of the spec.
	incidentFrom = 1.0 / 3
	incidentTo   = 2.0 / 3
)

// A leaf pauses for 100 to 250 ms, with 2.4 to 6 s between pauses: 4% of the time.
const (
	shortestPause = 100 * time.Millisecond
	longestPause  = 250 * time.Millisecond
	pauseShare    = 0.04
)

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

// remainingPause returns the rest of a pause at a time, 0 if the leaf is not paused.
func (l *leaf) remainingPause(at time.Duration) time.Duration {
	period := time.Duration(float64(l.pause) / pauseShare)
	return max(0, l.pause-(at+l.phase)%period)
}

// answer is the outcome of an attempt.
type answer struct {
	at          time.Duration
	took        time.Duration
	failed      bool
	isCancelled bool
	// isBad means that the fault of the version made the answer bad.
	isBad bool
	route int
	leaf  *leaf
}

// attempt simulates an attempt at a leaf. fullLoad means that the leaf receives as many requests as in full service.
func (s *simulation) attempt(at time.Duration, l *leaf, route int, fullLoad bool) answer {
	median := firstMedian
	if route > 0 {
		median = nextMedian
	}
	factor := math.Exp(spread * s.random.NormFloat64())
	a := answer{route: route, leaf: l}
	if l.isCanary && at < coldFor {
		factor *= coldFactor
	}
	if l.isCanary && s.isFaultActive(at, route, fullLoad) {
		factor = s.applyFault(&a, factor)
	}
	a.took = time.Duration(factor * float64(median))
	s.applyIncident(&a, at, l)
	a.took += l.remainingPause(at)
	if a.took > deadline {
		a.took, a.isCancelled, a.failed = deadline, true, false
	}
	a.at = at + a.took
	return a
}

// isFaultActive reports whether the fault of the version affects an attempt.
func (s *simulation) isFaultActive(at time.Duration, route int, fullLoad bool) bool {
	fault := s.testCase.Fault
	return float64(at) >= fault.From*float64(s.testCase.Duration) &&
		(!fault.LastRoute || route == s.testCase.Routes-1) && (!fault.UnderLoad || fullLoad)
}

func (s *simulation) applyFault(a *answer, factor float64) float64 {
	fault := s.testCase.Fault
	if s.random.Float64() < fault.Failing {
		a.failed, a.isBad = true, true
	}
	if fault.Slow > 1 && s.random.Float64() < fault.SlowShare {
		a.isBad = true
		return factor * fault.Slow
	}
	return factor
}

// applyIncident applies the incident to an attempt.
func (s *simulation) applyIncident(a *answer, at time.Duration, l *leaf) {
	fraction := float64(at) / float64(s.testCase.Duration)
	isActive := fraction >= incidentFrom && fraction < incidentTo
	isAffected := l.isCanary && l.number == 0
	switch s.testCase.Incident {
	case DeadLeaf:
		a.dropAnswer(isAffected, time.Millisecond)
	case SlowLeaf:
		if isAffected {
			a.took *= slowLeafFactor
		}
	case GrayLeaf:
		a.failed = a.failed || isAffected && s.random.Float64() < grayShare
	case Flapping:
		a.dropAnswer(isAffected && at/flapPeriod%2 == 0, deadline)
	case ZoneCut:
		a.dropAnswer(isActive && l.zone == 0, deadline)
	case Burst:
		if isActive {
			a.took *= burstFactor
		}
	case BothFail:
		a.failed = a.failed || isActive && s.random.Float64() < bothFailShare
	case OldGrayLeaf:
		a.failed = a.failed || !l.isCanary && l.number == 0 && s.random.Float64() < grayShare
	}
}

// dropAnswer ends an attempt without an answer after a time, if lost is set.
func (a *answer) dropAnswer(lost bool, after time.Duration) {
	if lost {
		a.took, a.failed, a.isCancelled = after, false, true
	}
}

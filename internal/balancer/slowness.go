package balancer

import (
	"math"
	"slices"
	"time"
)

// Bounds of the samples by which a leaf is compared with others.
const (
	slownessSamples = 7
	leastSlowness   = 0.2
	mostSlowness    = 30
	// slownessHalfLife is how fast a difference fades while there are no new samples, so that
	// a leaf that was slow is looked at again.
	slownessHalfLife = 2 * time.Second
)

// slowness is how much longer than usual a leaf takes for the same kind of work. It is the
// median of a few samples: a single pause of the leaf does not count, lasting slowness does
// within a few requests.
type slowness struct {
	samples []float64
	next    int
	at      time.Time
}

func (s *slowness) add(sample float64, now time.Time) {
	sample = min(max(sample, leastSlowness), mostSlowness)
	s.at = now
	if len(s.samples) < slownessSamples {
		s.samples = append(s.samples, sample)
		return
	}
	s.samples[s.next] = sample
	s.next = (s.next + 1) % slownessSamples
}

func (s *slowness) median() float64 {
	sorted := slices.Clone(s.samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// now gives the slowness with what faded since the last sample; false when none is known.
func (s *slowness) now(now time.Time) (float64, bool) {
	if len(s.samples) == 0 {
		return 1, false
	}
	faded := math.Exp2(-float64(now.Sub(s.at)) / float64(slownessHalfLife))
	return 1 + (s.median()-1)*faded, true
}

// compare takes the latency of an attempt as a sample of the leaf's slowness. Typical is what
// such work usually takes; 0 when that is not known.
func (l *Leaf) compare(config Config, outcome Outcome, took, typical time.Duration, now time.Time) {
	if typical <= 0 || (outcome != Succeeded && outcome != Abandoned) {
		return
	}
	sample := float64(took) / float64(typical) / l.queueing(config, now)
	if outcome == Abandoned {
		// The attempt would have taken at least so long.
		if known, _ := l.slowness.now(now); sample <= known {
			return
		}
	}
	l.slowness.add(sample, now)
}

// queueing is how many times its usual time one more attempt takes because others wait: 1 while
// a slot is free. The leaf's own word counts for a while, with what this node sent since.
func (l *Leaf) queueing(config Config, now time.Time) float64 {
	slots := float64(l.reported.Slots)
	if slots == 0 {
		return 1 + float64(l.inFlight)
	}
	working := float64(l.inFlight)
	if now.Sub(l.reportedAt) < config.LoadAge {
		working = max(working, float64(l.reported.InFlight)+float64(l.inFlight-l.inFlightThen))
	}
	return 1 + max(0, working+1-slots)/slots
}

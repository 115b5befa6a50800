package balancer

import (
	"math"
	"slices"
	"time"
)

// Bounds of the samples by which a leaf is compared with others. Values are multiples of the typical latency.
const (
	slownessSamples = 7 // kept per leaf
	minimumSlowness = 0.2
	maximumSlowness = 30
	// slownessHalfLife is how fast a difference fades while there are no new samples, so that
	// a leaf that was slow is tried again.
	slownessHalfLife = 2 * time.Second
	// recentSpan is how long a sample is recent; from minimumRecent recent samples on, only those count.
	recentSpan    = 2 * time.Second
	minimumRecent = 3
)

// Thresholds of samples that are reported to other nodes, as multiples of the typical latency: from slowThreshold on a
// leaf is slow; up to healthyThreshold one that was slow is healthy again. The gap keeps leafs on the edge quiet.
const (
	slowThreshold    = 2.5
	healthyThreshold = 1.5
)

// sample is one comparison of a leaf, by this node or another.
type sample struct {
	value float64
	at    time.Time
}

// slowness decides how slow a leaf is compared with the typical latency of the same kind of request.
//
// Inputs: the last slownessSamples samples of this node and others, as multiples of the typical latency.
//
// Rule: the lower median, of the recent samples if there are several and else of all, fading to 1 without new samples.
// By a median, a single pause of the leaf does not count, but lasting slowness does within a few requests. By recent
// samples, a leaf that is rarely asked is not judged by its past.
type slowness struct {
	samples []sample
	next    int // index of the oldest sample once there are slownessSamples
	at      time.Time
	// middle is the median, kept since it is read far more often than samples come.
	middle float64
}

func (s *slowness) add(value float64, now time.Time) {
	added := sample{min(max(value, minimumSlowness), maximumSlowness), now}
	s.at = now
	if len(s.samples) < slownessSamples {
		s.samples = append(s.samples, added)
	} else {
		s.samples[s.next] = added
		s.next = (s.next + 1) % slownessSamples
	}
	s.middle = s.median()
}

// median returns the lower median of the recent samples if there are several, else of all.
func (s *slowness) median() float64 {
	recent := make([]float64, 0, slownessSamples)
	all := make([]float64, 0, slownessSamples)
	for _, known := range s.samples {
		all = append(all, known.value)
		if s.at.Sub(known.at) < recentSpan {
			recent = append(recent, known.value)
		}
	}
	if len(recent) < minimumRecent {
		recent = all
	}
	slices.Sort(recent)
	return recent[(len(recent)-1)/2]
}

// now returns the slowness, faded by the time since the last sample; false if none is known.
func (s *slowness) now(now time.Time) (float64, bool) {
	if len(s.samples) == 0 {
		return 1, false
	}
	faded := math.Exp2(-float64(now.Sub(s.at)) / float64(slownessHalfLife))
	return 1 + (s.middle-1)*faded, true
}

// compare adds the latency of an attempt as a sample of the leaf's slowness. Typical is the typical latency of such an
// attempt at any leaf; 0 if unknown. It returns an observation if other nodes should know: the sample is slow, or it is
// healthy and the leaf was slow.
func (l *Leaf) compare(config Config, outcome Outcome, took, typical time.Duration, now time.Time) *Observation {
	if typical <= 0 || (outcome != Succeeded && outcome != Abandoned) {
		return nil
	}
	sample := float64(took) / float64(typical) / l.queueing(config, now)
	known, _ := l.slowness.now(now)
	if outcome == Abandoned && sample <= known {
		// The time waited is only a lower bound of the latency.
		return nil
	}
	l.slowness.add(sample, now)
	if sample < slowThreshold && (sample > healthyThreshold || known < slowThreshold) {
		return nil
	}
	return &Observation{Slowness: sample}
}

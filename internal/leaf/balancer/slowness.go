package balancer

import (
	"math"
	"slices"
	"time"
)

// Bounds of the slowness samples of a leaf. Sample values are multiples of the typical latency.
const (
	slownessSamples = 7 // kept per leaf
	minimumSlowness = 0.2
	maximumSlowness = 30
	// slownessHalfLife is the half-life of the deviation from 1 while there are no new samples, so that a leaf that was
	// slow is tried again.
	slownessHalfLife = 2 * time.Second
	// recentWindow is how long a sample is recent. If there are at least minimumRecentSamples recent samples, older
	// ones are ignored.
	recentWindow         = 2 * time.Second
	minimumRecentSamples = 3
)

// Thresholds of slowness, as multiples of the typical latency. A leaf becomes slow at slowThreshold and healthy again
// at healthyThreshold. The gap between them prevents repeated reports about a leaf near a threshold.
const (
	slowThreshold    = 2.5
	healthyThreshold = 1.5
)

// sample is one slowness value of a leaf, observed by this node or another.
type sample struct {
	value float64
	at    time.Time
}

// slowness tracks how slow a leaf is relative to the typical latency of the same kind of request. It is the lower
// median of the recent samples, or of all samples if too few are recent, and decays to 1 without new samples. The
// median ignores a single pause but reflects lasting slowness within a few requests. Preferring recent samples keeps a
// rarely used leaf from being rated by outdated ones.
type slowness struct {
	samples []sample
	next    int // index of the oldest sample once there are slownessSamples
	at      time.Time
	// median is cached since it is read far more often than samples are added.
	median float64
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
	s.median = s.lowerMedian()
}

// lowerMedian returns the lower median of the recent samples, or of all samples if too few are recent.
func (s *slowness) lowerMedian() float64 {
	recent := make([]float64, 0, slownessSamples)
	all := make([]float64, 0, slownessSamples)
	for _, known := range s.samples {
		all = append(all, known.value)
		if s.at.Sub(known.at) < recentWindow {
			recent = append(recent, known.value)
		}
	}
	if len(recent) < minimumRecentSamples {
		recent = all
	}
	slices.Sort(recent)
	return recent[(len(recent)-1)/2]
}

// now returns the slowness, decayed by the time since the last sample. It returns false if there are no samples.
func (s *slowness) now(now time.Time) (float64, bool) {
	if len(s.samples) == 0 {
		return 1, false
	}
	faded := math.Exp2(-float64(now.Sub(s.at)) / float64(slownessHalfLife))
	return 1 + (s.median-1)*faded, true
}

// recordSlowness adds the latency of an attempt as a sample of the leaf's slowness. The parameter typical is the
// typical latency of such an attempt at any leaf, or 0 if it is unknown. It returns an observation for other nodes if
// the sample is slow, or if it is healthy and the leaf was slow.
func (l *Leaf) recordSlowness(cfg Config, outcome Outcome, took, typical time.Duration, now time.Time) *Observation {
	if typical <= 0 || (outcome != Succeeded && outcome != Cancelled) {
		return nil
	}
	sample := float64(took) / float64(typical) / l.queueing(cfg, now)
	known, _ := l.slowness.now(now)
	if outcome == Cancelled && sample <= known {
		// The time waited is only a lower bound of the latency.
		return nil
	}
	l.slowness.add(sample, now)
	if sample < slowThreshold && (sample > healthyThreshold || known < slowThreshold) {
		return nil
	}
	return &Observation{Slowness: sample}
}

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
	// recentSpan and leastRecent say which samples count alone.
	recentSpan  = 2 * time.Second
	leastRecent = 3
)

// Bounds of what is told to other nodes: a sample that is slow, and one that is well again of a
// leaf that was taken for slow.
const (
	slowNews = 2.5
	wellNews = 1.5
)

// sample is one comparison of a leaf, by this node or another.
type sample struct {
	value float64
	at    time.Time
}

// slowness is how much longer than usual a leaf takes for the same kind of work. It is the
// median of a few samples: a single pause of the leaf does not count, lasting slowness does
// within a few requests. Where there are several of the last moments, only those count, so that
// a leaf which is asked rarely is not judged by what was long ago.
type slowness struct {
	samples []sample
	next    int
	at      time.Time
	// middle is the median, kept since it is read far more often than samples come.
	middle float64
}

func (s *slowness) add(value float64, now time.Time) {
	added := sample{min(max(value, leastSlowness), mostSlowness), now}
	s.at = now
	if len(s.samples) < slownessSamples {
		s.samples = append(s.samples, added)
	} else {
		s.samples[s.next] = added
		s.next = (s.next + 1) % slownessSamples
	}
	s.middle = s.median()
}

// median gives the lower median of the recent samples if there are several, else of all.
func (s *slowness) median() float64 {
	recent := make([]float64, 0, slownessSamples)
	all := make([]float64, 0, slownessSamples)
	for _, known := range s.samples {
		all = append(all, known.value)
		if s.at.Sub(known.at) < recentSpan {
			recent = append(recent, known.value)
		}
	}
	if len(recent) < leastRecent {
		recent = all
	}
	slices.Sort(recent)
	return recent[(len(recent)-1)/2]
}

// now gives the slowness with what faded since the last sample; false when none is known.
func (s *slowness) now(now time.Time) (float64, bool) {
	if len(s.samples) == 0 {
		return 1, false
	}
	faded := math.Exp2(-float64(now.Sub(s.at)) / float64(slownessHalfLife))
	return 1 + (s.middle-1)*faded, true
}

// compare takes the latency of an attempt as a sample of the leaf's slowness. Typical is what
// such work usually takes; 0 when that is not known. It gives what other nodes should know.
func (l *Leaf) compare(config Config, outcome Outcome, took, typical time.Duration, now time.Time) *Observation {
	if typical <= 0 || (outcome != Succeeded && outcome != Abandoned) {
		return nil
	}
	sample := float64(took) / float64(typical) / l.queueing(config, now)
	known, _ := l.slowness.now(now)
	if outcome == Abandoned && sample <= known {
		// The attempt would have taken at least so long.
		return nil
	}
	l.slowness.add(sample, now)
	if sample < slowNews && (sample > wellNews || known < slowNews) {
		return nil
	}
	return &Observation{Slowness: sample}
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

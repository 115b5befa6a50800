package balancer

import (
	"math"
	"sync"
	"time"
)

// latencyWeight is the share of a new sample in a leaf's moving average latency.
const latencyWeight = 0.1

// shedBackoff multiplies a leaf's in-flight limit when it sheds load.
const shedBackoff = 0.7

// Outcome is how an attempt ended, as far as it says something about the leaf.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded means that a verified reply came back.
	Succeeded Outcome = iota
	// Failed means an error of transport, a wrong reply, or none in time.
	Failed
	// Shed means that the leaf refused because it is overloaded.
	Shed
	// Drained means that the leaf refused because it is draining.
	Drained
	// Abandoned means that the reply was no longer needed, which says little about the leaf.
	Abandoned
	// Declined means that the leaf refused for a reason that says nothing about its health.
	Declined
)

// Load is how busy a leaf is by its own report.
type Load struct {
	InFlight uint32
	Slots    uint32
	Draining bool
}

// Leaf is the state of one leaf as this node knows it. It is safe for concurrent use.
type Leaf struct {
	ID   string
	Zone string
	key  LeafKey

	mu       sync.Mutex
	inFlight int     // attempts of this node
	limit    float64 // of attempts in flight
	latency  float64 // moving average in seconds; 0 before the first sample

	failures      int // in a row
	ejectedUntil  time.Time
	probing       bool // one attempt is in flight to find out whether an ejected leaf is back
	drainingUntil time.Time
	warmSince     time.Time

	reported   Load // by the leaf itself
	reportedAt time.Time
	// inFlightAtReport is how many attempts of this node were in flight when the leaf reported.
	inFlightAtReport int

	slowness slowness
	// isSlow is the condition of the last assessment.
	isSlow bool
	// peerSlowAt is when the observation of another node last counted as a sample of slowness.
	peerSlowAt time.Time

	// silentSince is the start of the oldest attempt since which the leaf has answered nothing;
	// zero if it owes no answer.
	silentSince time.Time
	// abandonedAt is when an attempt without an answer was last given up.
	abandonedAt time.Time
	// answeredAt is when the leaf last answered this node.
	answeredAt time.Time
	// silenceReportedAt is when this node last reported the leaf's silence to others.
	silenceReportedAt time.Time
	// peerSilence is the silence that another node reported at peerSilenceAt; 0 once an answer came.
	peerSilence   time.Duration
	peerSilenceAt time.Time
}

func newLeaf(id, zone string, config Config, now time.Time) *Leaf {
	return &Leaf{ID: id, Zone: zone, key: KeyOf(id), limit: float64(config.InFlightLimit), warmSince: now}
}

// start counts an attempt as in flight; it marks the attempt as the probe of an ejected leaf.
func (l *Leaf) start(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	if l.silentSince.IsZero() {
		l.silentSince = now
	}
	if !l.ejectedUntil.IsZero() && now.After(l.ejectedUntil) {
		l.probing = true
	}
}

// change is what the end of an attempt changed.
type change struct {
	// ejectionChanged says that the leaf was ejected, or is back in use.
	ejectionChanged bool
	ejected         bool
	// observation is what other nodes should get; nil for nothing.
	observation *Observation
	// assessment is the changed assessment; nil if it did not change.
	assessment *Assessment
}

// finish records the end of an attempt.
func (l *Leaf) finish(config Config, outcome Outcome, took, typical time.Duration, now time.Time) change {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasEjected := !l.ejectedUntil.IsZero()
	l.inFlight--
	l.probing = false
	wasSilent := l.silence(now) > 0
	l.updateSilence(outcome, now)
	observation := l.compare(config, outcome, took, typical, now)
	if observation == nil && wasSilent && outcome == Succeeded {
		observation = &Observation{Slowness: 1}
	}
	l.learn(config, outcome, took, now)
	ejected := !l.ejectedUntil.IsZero()
	return change{ejectionChanged: ejected != wasEjected, ejected: ejected, observation: observation, assessment: l.assess(false)}
}

// learn updates latency, in-flight limit, ejection and draining by the outcome of an attempt.
func (l *Leaf) learn(config Config, outcome Outcome, took time.Duration, now time.Time) {
	switch outcome {
	case Succeeded:
		l.addLatency(took)
		l.limit = math.Min(float64(config.InFlightLimit), l.limit+1/math.Max(1, l.limit))
		l.readmit(now)
	case Failed:
		l.countFailure(config, now)
	case Shed:
		l.limit = math.Max(1, l.limit*shedBackoff)
	case Drained:
		l.drainingUntil = now.Add(config.ForgetDrain)
	case Abandoned:
		// The true latency is at least the time waited; without it
		// a slow replica would look as good as its fast replies.
		if took.Seconds() > l.latency {
			l.addLatency(took)
		}
	case Declined:
	}
}

// addLatency adds a sample to the moving average latency.
func (l *Leaf) addLatency(took time.Duration) {
	if l.latency == 0 {
		l.latency = took.Seconds()
		return
	}
	l.latency += latencyWeight * (took.Seconds() - l.latency)
}

// report records the load that the leaf reported.
func (l *Leaf) report(config Config, load Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if load.Slots > 0 {
		l.reported, l.reportedAt, l.inFlightAtReport = load, now, l.inFlight
	}
	if load.Draining {
		l.drainingUntil = now.Add(config.ForgetDrain)
	}
}

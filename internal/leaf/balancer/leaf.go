package balancer

import (
	"math"
	"sync"
	"time"
)

// latencyWeight is the weight of a new sample in the moving average of a leaf's latency.
const latencyWeight = 0.1

// shedBackoff is the factor by which a leaf's in-flight limit is reduced when the leaf sheds an attempt.
const shedBackoff = 0.7

// Outcome is the end of an attempt, classified by what it shows about the leaf's health.
type Outcome int

// Outcomes of an attempt.
const (
	// Succeeded means that a verified reply was received.
	Succeeded Outcome = iota
	// Failed means a transport error, an invalid reply, or a timeout.
	Failed
	// Shed means that the leaf refused the attempt because it is overloaded.
	Shed
	// Drained means that the leaf refused the attempt because it is draining.
	Drained
	// Cancelled means that the node cancelled the attempt, or did not start it, because its reply was no longer needed.
	// It shows little about the leaf.
	Cancelled
	// Declined means that the leaf refused the attempt for a reason unrelated to its health.
	Declined
)

// Load is the load that a leaf reports.
type Load struct {
	InFlight uint32
	Slots    uint32
	Draining bool
}

// Leaf is the state of one leaf as observed by this node. It is safe for concurrent use.
type Leaf struct {
	ID   string
	Zone string
	key  LeafKey

	mu       sync.Mutex
	inFlight int     // this node's attempts
	limit    float64 // maximum of inFlight
	latency  float64 // moving average in seconds; 0 before the first sample

	failures      int // consecutive
	ejectedUntil  time.Time
	probing       bool // a probe of the ejected leaf is in flight
	drainingUntil time.Time
	warmUpStart   time.Time

	reported   Load // by the leaf itself
	reportedAt time.Time
	// inFlightAtReport is the number of this node's attempts in flight when the report was received.
	inFlightAtReport int

	slowness slowness
	// isSlow is the result of the last assessment.
	isSlow bool
	// peerSlowAt is when another node's slow observation was last counted as a sample.
	peerSlowAt time.Time

	// silentSince is when the oldest attempt without an answer started, or when the leaf last answered if that is
	// later; zero if no answer is outstanding.
	silentSince time.Time
	// lastUnansweredAt is when an attempt last ended without an answer, that is, failed or was cancelled.
	lastUnansweredAt time.Time
	// answeredAt is when the leaf last answered this node.
	answeredAt time.Time
	// silenceReportedAt is when this node last reported the leaf's silence to other nodes.
	silenceReportedAt time.Time
	// peerSilence is the silence that another node reported at peerSilenceAt; 0 after an answer.
	peerSilence   time.Duration
	peerSilenceAt time.Time
}

func newLeaf(id, zone string, cfg Config, now time.Time) *Leaf {
	return &Leaf{ID: id, Zone: zone, key: KeyOf(id), limit: float64(cfg.InFlightLimit), warmUpStart: now}
}

// start counts an attempt as in flight. If the leaf's ejection time is over, the attempt is the probe.
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

// change describes what the end of an attempt changed.
type change struct {
	// ejectionChanged says that the leaf was ejected or readmitted.
	ejectionChanged bool
	ejected         bool
	// observation is sent to other nodes; nil if there is nothing to send.
	observation *Observation
	// assessment is the changed assessment; nil if it did not change.
	assessment *Assessment
}

// finish records the end of an attempt.
func (l *Leaf) finish(cfg Config, outcome Outcome, took, typical time.Duration, now time.Time) change {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasEjected := !l.ejectedUntil.IsZero()
	l.inFlight--
	l.probing = false
	wasSilent := l.silence(now) > 0
	l.updateSilence(outcome, now)
	observation := l.recordSlowness(cfg, outcome, took, typical, now)
	if observation == nil && wasSilent && outcome == Succeeded {
		observation = &Observation{Slowness: 1}
	}
	l.applyOutcome(cfg, outcome, took, now)
	ejected := !l.ejectedUntil.IsZero()
	return change{ejectionChanged: ejected != wasEjected, ejected: ejected, observation: observation, assessment: l.assess(false)}
}

// applyOutcome updates the latency, the in-flight limit, and the ejection and draining state.
func (l *Leaf) applyOutcome(cfg Config, outcome Outcome, took time.Duration, now time.Time) {
	switch outcome {
	case Succeeded:
		l.addLatency(took)
		l.limit = math.Min(float64(cfg.InFlightLimit), l.limit+1/math.Max(1, l.limit))
		l.readmit(now)
	case Failed:
		l.countFailure(cfg, now)
	case Shed:
		l.limit = math.Max(1, l.limit*shedBackoff)
	case Drained:
		l.drainingUntil = now.Add(cfg.ForgetDrain)
	case Cancelled:
		// The time waited is a lower bound of the latency. If it were ignored, a slow replica would be rated by its
		// fast replies only.
		if took.Seconds() > l.latency {
			l.addLatency(took)
		}
	case Declined:
	}
}

// addLatency adds a sample to the moving average of the latency.
func (l *Leaf) addLatency(took time.Duration) {
	if l.latency == 0 {
		l.latency = took.Seconds()
		return
	}
	l.latency += latencyWeight * (took.Seconds() - l.latency)
}

// report records the load that the leaf reported.
func (l *Leaf) report(cfg Config, load Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if load.Slots > 0 {
		l.reported, l.reportedAt, l.inFlightAtReport = load, now, l.inFlight
	}
	if load.Draining {
		l.drainingUntil = now.Add(cfg.ForgetDrain)
	}
}

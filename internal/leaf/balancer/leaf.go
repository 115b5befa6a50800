package balancer

import (
	"math"
	"sync"
	"time"
)

// latencyWeight is the share of a new sample in a leaf's moving average latency.
const latencyWeight = 0.1

// minimumLatency in seconds keeps scores of leafs apart before any reply was seen.
const minimumLatency = 1e-6

// leastWarmth is the share of choices that a cold leaf takes part in at first.
const leastWarmth = 0.1

// shedBackoff multiplies a leaf's in-flight limit when it sheds load.
const shedBackoff = 0.7

// Outcome is how an attempt ended, as far as it tells about the leaf.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded means that a verified reply came back.
	Succeeded Outcome = iota
	// Failed means an error of transport, a wrong reply, or none in time.
	Failed
	// Shed means that the leaf refused because it has too much work.
	Shed
	// Drained means that the leaf refused because it is leaving.
	Drained
	// Abandoned means that another replica was faster, which says little.
	Abandoned
	// Declined means that the leaf refused for a reason that says nothing about its health.
	Declined
)

// Leaf is what this node has seen of one leaf. It is safe for concurrent use.
type Leaf struct {
	ID   string
	Zone string
	key  LeafKey

	mu            sync.Mutex
	inFlight      int
	limit         float64
	latency       float64 // moving average in seconds; 0 before the first sample
	failures      int     // in a row
	ejectedUntil  time.Time
	trial         bool // one attempt is out to see whether an ejected leaf is back
	drainingUntil time.Time
	warmSince     time.Time
	reported      Load // the leaf's own word
	reportedAt    time.Time
	// inFlightThen is how many attempts of this node were in flight when the leaf reported.
	inFlightThen int
	slowness     slowness
	// silentSince is the start of the oldest attempt since which the leaf answered nothing;
	// zero when it owes no answer.
	silentSince time.Time
	// leftAt is when an attempt without an answer was last given up.
	leftAt time.Time
	// answeredAt is when the leaf last answered this node.
	answeredAt time.Time
	// toldSilence is the silence that another node told of at toldAt; 0 once an answer came.
	toldSilence time.Duration
	toldAt      time.Time
	// toldSlowAt is when another node's word last counted as a sample of slowness.
	toldSlowAt time.Time
	// isSlow is the condition last told of.
	isSlow bool
	// silenceTold is when this node last told others of the leaf's silence.
	silenceTold time.Time
}

func newLeaf(id, zone string, config Config, now time.Time) *Leaf {
	return &Leaf{ID: id, Zone: zone, key: KeyOf(id), limit: float64(config.InFlightLimit), warmSince: now}
}

// Load is the leaf's own word on how busy it is.
type Load struct {
	InFlight uint32
	Slots    uint32
	Draining bool
}

// start counts an attempt in; it marks the attempt as the trial of an ejected leaf.
func (l *Leaf) start(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	if l.silentSince.IsZero() {
		l.silentSince = now
	}
	if !l.ejectedUntil.IsZero() && now.After(l.ejectedUntil) {
		l.trial = true
	}
}

// learned is what an attempt's end changed.
type learned struct {
	// changed says that the leaf was ejected, or came back.
	changed bool
	ejected bool
	// news is what other nodes should know; nil when they need not.
	news *Observation
	// belief is the belief that it changed; nil when it changed none.
	belief *Assessment
}

// finish counts an attempt out and learns from its outcome.
func (l *Leaf) finish(config Config, outcome Outcome, took, typical time.Duration, now time.Time) learned {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasEjected := !l.ejectedUntil.IsZero()
	l.inFlight--
	l.trial = false
	wasSilent := l.silence(now) > 0
	l.heard(outcome, now)
	news := l.compare(config, outcome, took, typical, now)
	if news == nil && wasSilent && outcome == Succeeded {
		news = &Observation{Slowness: 1}
	}
	switch outcome {
	case Succeeded:
		l.succeed(config, took, now)
	case Failed:
		l.fail(config, now)
	case Shed:
		l.limit = math.Max(1, l.limit*shedBackoff)
	case Drained:
		l.drainingUntil = now.Add(config.ForgetDrain)
	case Abandoned:
		// A straggler's true latency is at least the time waited; ignoring it would make
		// a slow replica look as good as its fast replies.
		if took.Seconds() > l.latency {
			l.observe(took)
		}
	case Declined:
	}
	ejected := !l.ejectedUntil.IsZero()
	return learned{changed: ejected != wasEjected, ejected: ejected, news: news, belief: l.judged(false)}
}

// heard keeps how long the leaf has been silent: any answer ends the silence, an attempt that
// was given up does not.
func (l *Leaf) heard(outcome Outcome, now time.Time) {
	if outcome == Abandoned || outcome == Failed {
		l.leftAt = now
		return
	}
	l.silentSince = time.Time{}
	l.toldSilence = 0
	l.answeredAt = now
	if l.inFlight > 0 {
		l.silentSince = now
	}
}

// Bounds of the silence after which a leaf counts as stalled, and of the pauses between the
// attempts that see whether it is back.
const (
	stallFactor       = 3
	minimumStall      = 20 * time.Millisecond
	unknownStall      = 150 * time.Millisecond
	minimumStallPause = 50 * time.Millisecond
	maximumStallPause = 2 * time.Second
	// shortStall is how long leafs that are well may pause; a longer silence is taken for the
	// end of the leaf, and looked into more rarely, since each look costs a request its part.
	shortStall      = 400 * time.Millisecond
	shortStallShare = 0.5
	longStallFactor = 2
)

// stalled reports whether the leaf owes answers for much longer than it usually takes. One
// attempt at a time sees whether it is back, after pauses that grow with the silence.
func (l *Leaf) stalled(now time.Time) bool {
	if l.toldSilence > 0 && now.Sub(l.toldAt) < stallPause(l.toldSilence) {
		return true
	}
	silence := l.silence(now)
	if silence == 0 {
		return false
	}
	if l.inFlight > 0 {
		return true
	}
	return now.Sub(l.leftAt) < stallPause(l.leftAt.Sub(l.silentSince))
}

// silence gives how long the leaf has owed an answer to this node; 0 while it may just be
// working on it.
func (l *Leaf) silence(now time.Time) time.Duration {
	if l.silentSince.IsZero() {
		return 0
	}
	silence := now.Sub(l.silentSince)
	limit := unknownStall
	if l.latency > 0 {
		limit = max(minimumStall, time.Duration(stallFactor*l.latency*float64(time.Second)))
	}
	if silence < limit {
		return 0
	}
	return silence
}

// stallPause is how long a leaf of such a silence is left alone.
func stallPause(silence time.Duration) time.Duration {
	pause := time.Duration(shortStallShare * float64(silence))
	if silence > shortStall {
		pause = longStallFactor * silence
	}
	return min(max(pause, minimumStallPause), maximumStallPause)
}

func (l *Leaf) succeed(config Config, took time.Duration, now time.Time) {
	l.observe(took)
	l.failures = 0
	l.limit = math.Min(float64(config.InFlightLimit), l.limit+1/math.Max(1, l.limit))
	if !l.ejectedUntil.IsZero() {
		l.ejectedUntil = time.Time{}
		l.warmSince = now
	}
}

func (l *Leaf) fail(config Config, now time.Time) {
	l.failures++
	if l.failures >= config.EjectAfter || !l.ejectedUntil.IsZero() {
		l.ejectedUntil = now.Add(config.EjectFor)
	}
}

func (l *Leaf) observe(took time.Duration) {
	if l.latency == 0 {
		l.latency = took.Seconds()
		return
	}
	l.latency += latencyWeight * (took.Seconds() - l.latency)
}

// report takes the leaf's own word on its load.
func (l *Leaf) report(config Config, load Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if load.Slots > 0 {
		l.reported, l.reportedAt, l.inFlightThen = load, now, l.inFlight
	}
	if load.Draining {
		l.drainingUntil = now.Add(config.ForgetDrain)
	}
}

// standing is a leaf's fitness for the next attempt, at one moment.
type standing struct {
	draining bool
	ejected  bool
	stalled  bool
	full     bool
	latency  float64 // moving average in seconds; 0 when unknown
	load     float64 // attempts in flight and the reported load, plus the attempt to come
	queueing float64 // times the usual that one more attempt takes because others wait
	slowness float64 // times the usual that the leaf takes for the same kind of work
	compared bool    // slowness is known
	warmth   float64 // share of its full part that a new or returned leaf should get
}

// score is the expected cost of one more attempt; lower is better. A leaf of unknown
// latency is taken to be as fast as its fastest peer.
func (s standing) score(fastest float64) float64 {
	latency := s.latency
	if latency == 0 {
		latency = fastest
	}
	return s.load * math.Max(latency, minimumLatency)
}

func (l *Leaf) standing(config Config, now time.Time) standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := standing{
		draining: now.Before(l.drainingUntil),
		ejected:  !l.ejectedUntil.IsZero() && (l.trial || now.Before(l.ejectedUntil)),
		stalled:  l.stalled(now),
		full:     float64(l.inFlight) >= l.limit,
		latency:  l.latency,
	}
	busy := float64(l.inFlight)
	if now.Sub(l.reportedAt) < config.LoadAge {
		busy += float64(l.reported.InFlight) / float64(l.reported.Slots)
	}
	result.load = busy + 1
	result.queueing = l.queueing(config, now)
	result.slowness, result.compared = l.slowness.now(now)
	result.warmth = l.warmth(config, now)
	return result
}

// queue gives how many times its usual time one more attempt takes because others wait there, by
// the leaf's word of a short while ago; false when the leaf can't be asked.
func (l *Leaf) queue(config Config, now time.Time) (times float64, usable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isEjected := !l.ejectedUntil.IsZero() && (l.trial || now.Before(l.ejectedUntil))
	if now.Before(l.drainingUntil) || isEjected || l.stalled(now) {
		return 0, false
	}
	if l.reported.Slots == 0 || now.Sub(l.reportedAt) >= config.LoadAge {
		return 1, true // nothing is known of others' work there
	}
	return l.queueing(config, now), true
}

// warmth grows from leastWarmth to 1 over the warm-up.
func (l *Leaf) warmth(config Config, now time.Time) float64 {
	age := now.Sub(l.warmSince)
	if age >= config.WarmUp {
		return 1
	}
	return math.Max(leastWarmth, age.Seconds()/config.WarmUp.Seconds())
}

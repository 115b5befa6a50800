package balancer

import (
	"math"
	"time"
)

// minimumLatency in seconds keeps the costs of leafs distinct before any reply came.
const minimumLatency = 1e-6

// minimumWarmth is the share of choices in which a cold leaf takes part at first.
const minimumWarmth = 0.1

// status is a leaf's fitness for the next attempt, at one moment.
type status struct {
	draining bool
	ejected  bool
	stalled  bool
	full     bool    // at its in-flight limit
	latency  float64 // moving average in seconds; 0 if unknown
	load     float64 // attempts in flight and the reported load, plus the next attempt
	queueing float64 // latency as a multiple of that of an idle leaf, because other attempts wait
	slowness float64 // latency as a multiple of the typical one for the same kind of request
	compared bool    // slowness is known
	warmth   float64 // share of its full load that the leaf should get, below 1 while it is new or readmitted
}

// status returns the leaf's status now.
func (l *Leaf) status(config Config, now time.Time) status {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := status{
		draining: now.Before(l.drainingUntil),
		ejected:  l.isEjected(now),
		stalled:  l.isStalled(now),
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

// cost returns the expected cost of one more attempt; lower is better. A leaf of unknown
// latency is assumed to be as fast as its fastest peer.
func (s status) cost(fastest float64) float64 {
	latency := s.latency
	if latency == 0 {
		latency = fastest
	}
	return s.load * math.Max(latency, minimumLatency)
}

// warmth grows from minimumWarmth to 1 over Config.WarmUp.
func (l *Leaf) warmth(config Config, now time.Time) float64 {
	age := now.Sub(l.warmSince)
	if age >= config.WarmUp {
		return 1
	}
	return math.Max(minimumWarmth, age.Seconds()/config.WarmUp.Seconds())
}

// queueing returns the latency of one more attempt as a multiple of that at an idle leaf: 1 while
// a slot is free. The leaf's report counts for Config.LoadAge, plus what this node sent since.
func (l *Leaf) queueing(config Config, now time.Time) float64 {
	slots := float64(l.reported.Slots)
	if slots == 0 {
		return 1 + float64(l.inFlight)
	}
	running := float64(l.inFlight)
	if now.Sub(l.reportedAt) < config.LoadAge {
		running = max(running, float64(l.reported.InFlight)+float64(l.inFlight-l.inFlightAtReport))
	}
	return 1 + max(0, running+1-slots)/slots
}

// QueueingFactor returns the latency of one more attempt at the least busy of some replicas, as a multiple of that at
// an idle leaf; 0 if none of them can be asked.
func (b *Balancer) QueueingFactor(candidates []Candidate) float64 {
	now := b.now()
	least := 0.0
	for _, candidate := range candidates {
		if candidate.Leaving || b.isLeaving(candidate.LeafID, now) {
			continue
		}
		factor, usable := b.leaf(candidate.LeafID, candidate.Zone, now).queueingFactor(b.config, now)
		if usable && (least == 0 || factor < least) {
			least = factor
		}
	}
	return least
}

// queueingFactor returns queueing by a recent report of the leaf, 1 without one; false if the leaf can't be asked.
func (l *Leaf) queueingFactor(config Config, now time.Time) (factor float64, usable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.drainingUntil) || l.isEjected(now) || l.isStalled(now) {
		return 0, false
	}
	if l.reported.Slots == 0 || now.Sub(l.reportedAt) >= config.LoadAge {
		return 1, true // the load by other nodes is unknown
	}
	return l.queueing(config, now), true
}

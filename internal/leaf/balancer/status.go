package balancer

import (
	"math"
	"time"
)

// minimumLatency, in seconds, keeps costs above zero, so that they differ by load before the first reply.
const minimumLatency = 1e-6

// minimumWarmUpFraction is the fraction of choices in which a leaf takes part at the start of its warm-up.
const minimumWarmUpFraction = 0.1

// status is a snapshot of the leaf's state that decides whether it gets the next attempt.
type status struct {
	draining       bool
	ejected        bool
	stalled        bool
	atLimit        bool    // at its in-flight limit
	latency        float64 // moving average in seconds; 0 if unknown
	load           float64 // attempts in flight and the reported load, plus the next attempt
	queueing       float64 // latency as a multiple of the latency at an idle leaf, due to waiting attempts
	slowness       float64 // latency as a multiple of the typical latency of the same kind of request
	slownessKnown  bool    // there are slowness samples
	warmUpFraction float64 // fraction of its full load that the leaf should get; below 1 during the warm-up
}

// status returns the leaf's status now.
func (l *Leaf) status(cfg Config, now time.Time) status {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := status{
		draining: now.Before(l.drainingUntil),
		ejected:  l.isEjected(now),
		stalled:  l.isStalled(now),
		atLimit:  float64(l.inFlight) >= l.limit,
		latency:  l.latency,
	}
	busy := float64(l.inFlight)
	if now.Sub(l.reportedAt) < cfg.LoadAge {
		busy += float64(l.reported.InFlight) / float64(l.reported.Slots)
	}
	result.load = busy + 1
	result.queueing = l.queueing(cfg, now)
	result.slowness, result.slownessKnown = l.slowness.now(now)
	result.warmUpFraction = l.warmUpFraction(cfg, now)
	return result
}

// cost returns the expected cost of one more attempt; lower is better. A leaf with unknown latency is assumed to be as
// fast as its fastest peer.
func (s status) cost(fastest float64) float64 {
	latency := s.latency
	if latency == 0 {
		latency = fastest
	}
	return s.load * math.Max(latency, minimumLatency)
}

// warmUpFraction grows from minimumWarmUpFraction to 1 over Config.WarmUp.
func (l *Leaf) warmUpFraction(cfg Config, now time.Time) float64 {
	age := now.Sub(l.warmUpStart)
	if age >= cfg.WarmUp {
		return 1
	}
	return math.Max(minimumWarmUpFraction, age.Seconds()/cfg.WarmUp.Seconds())
}

// queueing returns the latency of one more attempt as a multiple of the latency at an idle leaf: 1 while a slot is
// free. The leaf's report, plus the attempts that this node has started since, is used for Config.LoadAge. A leaf that
// never reported its slots is treated as having one.
func (l *Leaf) queueing(cfg Config, now time.Time) float64 {
	slots := float64(l.reported.Slots)
	if slots == 0 {
		return 1 + float64(l.inFlight)
	}
	running := float64(l.inFlight)
	if now.Sub(l.reportedAt) < cfg.LoadAge {
		running = max(running, float64(l.reported.InFlight)+float64(l.inFlight-l.inFlightAtReport))
	}
	return 1 + max(0, running+1-slots)/slots
}

// QueueingFactor returns the latency of one more attempt at the least busy of the candidates, as a multiple of the
// latency at an idle leaf; 0 if none of them is usable.
func (b *Balancer) QueueingFactor(candidates []Candidate) float64 {
	now := b.now()
	least := 0.0
	for _, candidate := range candidates {
		if candidate.Leaving || b.isLeaving(candidate.LeafID, now) {
			continue
		}
		factor, usable := b.leaf(candidate.LeafID, candidate.Zone, now).queueingFactor(b.cfg, now)
		if usable && (least == 0 || factor < least) {
			least = factor
		}
	}
	return least
}

// queueingFactor returns the queueing by a recent load report of the leaf, or 1 without one. It returns false if the
// leaf is not usable.
func (l *Leaf) queueingFactor(cfg Config, now time.Time) (factor float64, usable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.drainingUntil) || l.isEjected(now) || l.isStalled(now) {
		return 0, false
	}
	if l.reported.Slots == 0 || now.Sub(l.reportedAt) >= cfg.LoadAge {
		return 1, true // the load by other nodes is unknown
	}
	return l.queueing(cfg, now), true
}

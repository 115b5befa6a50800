package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// LeafKey identifies a leaf in messages between nodes, as a hash that keeps messages small. A collision of two leafs
// only leads to a wrong assessment of one of them.
type LeafKey uint32

// KeyOf returns the key of the leaf with the given ID.
func KeyOf(leafID string) LeafKey { return LeafKey(xxhash.Sum64String(leafID)) }

// Observation is what one node observed about a leaf and sends to other nodes.
type Observation struct {
	Leaf LeafKey
	// Slowness is the latency of an attempt as a multiple of the typical latency; 0 if there was no answer.
	Slowness float64
	// Silence is how long an answer of the leaf has been outstanding; 0 if it answered.
	Silence time.Duration
}

// Condition is a leaf's health as assessed by a node.
type Condition string

// Conditions of a leaf.
const (
	Slow    Condition = "slow"
	Healthy Condition = "well"
	Silent  Condition = "silent"
)

// Assessment is a change in this node's assessment of a leaf.
type Assessment struct {
	LeafID    string
	Condition Condition
	// Slowness is the leaf's latency as a multiple of the typical latency.
	Slowness float64
	// Silence is how long an answer of the leaf has been outstanding.
	Silence time.Duration
	// FromPeer says that another node's observation caused the change, not an attempt of this node.
	FromPeer bool
}

// assess decides whether a leaf is slow, and returns the assessment if the newest sample changed it.
//
// Rule: a leaf becomes slow when its median slowness reaches slowThreshold and healthy when it falls to
// healthyThreshold. The hysteresis keeps a leaf near a threshold from being reported repeatedly.
func (l *Leaf) assess(fromPeer bool) *Assessment {
	isSlow := l.slowness.median >= slowThreshold || l.isSlow && l.slowness.median > healthyThreshold
	if isSlow == l.isSlow {
		return nil
	}
	l.isSlow = isSlow
	changed := &Assessment{LeafID: l.ID, Condition: Healthy, Slowness: l.slowness.median, FromPeer: fromPeer}
	if isSlow {
		changed.Condition = Slow
	}
	return changed
}

// silenceReportInterval is the minimum time between two reports of a leaf's silence by one node.
const silenceReportInterval = 100 * time.Millisecond

// observeSilence returns an observation of the leaf's silence for other nodes. It returns nil if the leaf is not silent
// or its silence was reported within silenceReportInterval.
func (l *Leaf) observeSilence(now time.Time) *Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	silence := l.silence(now)
	if silence == 0 || now.Sub(l.silenceReportedAt) < silenceReportInterval {
		return nil
	}
	l.silenceReportedAt = now
	return &Observation{Silence: silence}
}

// peerSampleInterval is the minimum time between two slow samples of a leaf from other nodes, so that a single pause
// observed by many nodes counts once.
const peerSampleInterval = 300 * time.Millisecond

// handle records the observation of another node, and returns the assessment if that changed it.
func (l *Leaf) handle(observed Observation, now time.Time) *Assessment {
	l.mu.Lock()
	defer l.mu.Unlock()
	if observed.Silence > 0 {
		return l.handleSilence(observed.Silence, now)
	}
	l.peerSilence = 0
	if l.inFlight == 0 {
		l.silentSince = time.Time{}
	}
	if observed.Slowness >= slowThreshold {
		if now.Sub(l.peerSlowAt) < peerSampleInterval {
			return nil
		}
		l.peerSlowAt = now
	}
	l.slowness.add(observed.Slowness, now)
	return l.assess(true)
}

// handleSilence records a silence that another node observed, unless this node received an answer during it.
func (l *Leaf) handleSilence(silence time.Duration, now time.Time) *Assessment {
	if now.Sub(l.answeredAt) <= silence {
		return nil
	}
	isNew := l.peerSilence == 0
	l.peerSilence, l.peerSilenceAt = silence, now
	if !isNew {
		return nil
	}
	return &Assessment{LeafID: l.ID, Condition: Silent, Silence: silence, FromPeer: true}
}

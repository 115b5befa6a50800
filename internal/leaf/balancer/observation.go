package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// LeafKey names a leaf in messages between nodes, in few bytes. Two leafs may share one, which only leads to a
// wrong assessment of one of them.
type LeafKey uint32

// KeyOf returns the key of a leaf's id.
func KeyOf(leafID string) LeafKey { return LeafKey(xxhash.Sum64String(leafID)) }

// Observation is what one node observed of a leaf, as it is sent to other nodes.
type Observation struct {
	Leaf LeafKey
	// Slowness is the latency of an attempt as a multiple of the typical one; 0 if there was no answer.
	Slowness float64
	// Silence is how long the leaf has owed an answer; 0 if it answered.
	Silence time.Duration
}

// Condition is a node's summary of a leaf's health.
type Condition string

// The conditions of an assessment.
const (
	Slow    Condition = "slow"
	Healthy Condition = "well"
	Silent  Condition = "silent"
)

// Assessment is a change of a leaf's condition, as this node sees it.
type Assessment struct {
	LeafID    string
	Condition Condition
	// Slowness is the leaf's latency as a multiple of the typical one.
	Slowness float64
	// Silence is how long the leaf has owed an answer.
	Silence time.Duration
	// FromPeer says that the observation of another node changed it, not an attempt of this one.
	FromPeer bool
}

// assess decides whether a leaf is assessed as slow, and returns the assessment if the newest sample changed it.
//
// Input: the median slowness, as a multiple of the typical latency.
//
// Rule: a leaf is slow from slowThreshold on and healthy again at healthyThreshold. In between it stays what it
// was, so that a leaf on the edge is not reported over and over.
func (l *Leaf) assess(fromPeer bool) *Assessment {
	isSlow := l.slowness.middle >= slowThreshold || l.isSlow && l.slowness.middle > healthyThreshold
	if isSlow == l.isSlow {
		return nil
	}
	l.isSlow = isSlow
	changed := &Assessment{LeafID: l.ID, Condition: Healthy, Slowness: l.slowness.middle, FromPeer: fromPeer}
	if isSlow {
		changed.Condition = Slow
	}
	return changed
}

// silenceReportInterval is the minimum time between two observations of a leaf's silence by one node.
const silenceReportInterval = 100 * time.Millisecond

// observeSilence returns the leaf's silence for other nodes; nil if it is not silent or was reported a moment ago.
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

// peerSampleInterval is the minimum time between two slow samples of a leaf from other nodes. What many nodes
// observe in one pause of the leaf is one event, not many.
const peerSampleInterval = 300 * time.Millisecond

// handle records what another node observed, and returns the assessment if that changed it.
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

// handleSilence records a silence that another node observed, unless this node got an answer meanwhile.
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

package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// LeafKey names a leaf between nodes, in few bytes. Two leafs may share one, which only costs a
// wrong guess of one of them.
type LeafKey uint32

// KeyOf gives the key of a leaf's id.
func KeyOf(leafID string) LeafKey { return LeafKey(xxhash.Sum64String(leafID)) }

// Observation is what one node saw of a leaf, as it is told to others.
type Observation struct {
	Leaf LeafKey
	// Slowness is how many times the usual an attempt took; 0 when there was no answer.
	Slowness float64
	// Silence is how long the leaf has owed an answer; 0 when it answered.
	Silence time.Duration
}

// Condition is how a leaf does, as this node believes.
type Condition string

// The conditions that are told of.
const (
	Slow    Condition = "slow"
	Healthy Condition = "well"
	Silent  Condition = "silent"
)

// Assessment is a change of what this node believes of a leaf.
type Assessment struct {
	LeafID    string
	Condition Condition
	// Slowness is how many times the usual the leaf takes; Silence, for how long it owes an
	// answer.
	Slowness float64
	Silence  time.Duration
	// FromPeer says that another node's word changed it, not an attempt of this one.
	FromPeer bool
}

// OnAssessment sets who is told, without the balancer's locks held, of changed beliefs. It must be set
// before the balancer is used.
func (b *Balancer) OnAssessment(tell func(Assessment)) { b.onBelief = tell }

// believe tells of a changed belief; nil is none.
func (b *Balancer) believe(changed *Assessment) {
	if changed != nil && b.onBelief != nil {
		b.onBelief(*changed)
	}
}

// judged gives the belief that the newest sample changed; nil when it changed none. A leaf between
// slow and well stays what it was, so that one on the edge is not told of over and over.
func (l *Leaf) judged(told bool) *Assessment {
	isSlow := l.slowness.middle >= slowNews || l.isSlow && l.slowness.middle > wellNews
	if isSlow == l.isSlow {
		return nil
	}
	l.isSlow = isSlow
	changed := &Assessment{LeafID: l.ID, Condition: Healthy, Slowness: l.slowness.middle, FromPeer: told}
	if isSlow {
		changed.Condition = Slow
	}
	return changed
}

// silencePause is the least time between two observations of a leaf's silence by one node.
const silencePause = 100 * time.Millisecond

// OnObserved sets who is told, without the balancer's locks held, of what other nodes should
// know of a leaf. It must be set before the balancer is used.
func (b *Balancer) OnObserved(tell func(Observation)) { b.onObserved = tell }

// tell passes news of a leaf on; nil is none.
func (b *Balancer) tell(leaf *Leaf, news *Observation) {
	if news == nil || b.onObserved == nil {
		return
	}
	news.Leaf = leaf.key
	b.onObserved(*news)
}

// AttemptLate tells that an attempt at a leaf is late: others should know if the leaf is silent.
func (b *Balancer) AttemptLate(leafID string) {
	b.mu.RLock()
	leaf, found := b.leafs[leafID]
	b.mu.RUnlock()
	if found {
		b.tell(leaf, leaf.silenceNews(b.now()))
	}
}

// HandleObservation takes what another node saw.
func (b *Balancer) HandleObservation(seen Observation) {
	b.mu.RLock()
	leaf, found := b.keys[seen.Leaf]
	b.mu.RUnlock()
	if found {
		b.believe(leaf.hear(seen, b.now()))
	}
}

// silenceNews gives the leaf's silence, if others were not told of it a moment ago.
func (l *Leaf) silenceNews(now time.Time) *Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	silence := l.silence(now)
	if silence == 0 || now.Sub(l.silenceTold) < silencePause {
		return nil
	}
	l.silenceTold = now
	return &Observation{Silence: silence}
}

// hear takes what another node saw. An answer that this node got meanwhile outweighs a silence.
func (l *Leaf) hear(seen Observation, now time.Time) *Assessment {
	l.mu.Lock()
	defer l.mu.Unlock()
	if seen.Silence > 0 {
		return l.hearSilence(seen.Silence, now)
	}
	l.toldSilence = 0
	if l.inFlight == 0 {
		l.silentSince = time.Time{}
	}
	if seen.Slowness >= slowNews {
		if now.Sub(l.toldSlowAt) < toldSpacing {
			return nil
		}
		l.toldSlowAt = now
	}
	l.slowness.add(seen.Slowness, now)
	return l.judged(true)
}

// toldSpacing is the least time between two samples of a leaf's slowness that others' words count
// for. All that many nodes saw in one pause of the leaf is one thing, not many.
const toldSpacing = 300 * time.Millisecond

func (l *Leaf) hearSilence(silence time.Duration, now time.Time) *Assessment {
	if now.Sub(l.answeredAt) <= silence {
		return nil
	}
	isNews := l.toldSilence == 0
	l.toldSilence, l.toldAt = silence, now
	if !isNews {
		return nil
	}
	return &Assessment{LeafID: l.ID, Condition: Silent, Silence: silence, FromPeer: true}
}

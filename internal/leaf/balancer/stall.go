package balancer

import "time"

// Bounds of the silence after which a leaf counts as stalled.
const (
	stallFactor         = 3 // multiple of the leaf's latency
	minimumStallTimeout = 20 * time.Millisecond
	// defaultStallTimeout applies to a leaf whose latency at this node is unknown.
	defaultStallTimeout = 150 * time.Millisecond
)

// Bounds of the pauses between the attempts at a stalled leaf.
const (
	minimumStallPause = 50 * time.Millisecond
	maximumStallPause = 2 * time.Second
	// shortStall is the longest pause expected of a healthy leaf. After a longer silence, the leaf has most likely
	// crashed and is tried less often, since each attempt delays a request.
	shortStall       = 400 * time.Millisecond
	shortPauseFactor = 0.5 // multiple of the silence
	longPauseFactor  = 2   // multiple of the silence
)

// isStalled reports whether a leaf is passed over because an answer has been outstanding for stallFactor times its
// latency and at least minimumStallTimeout, or for defaultStallTimeout if its latency is unknown. It remains stalled
// while an attempt is in flight. After that, it is tried by one attempt at a time, with pauses that grow with the
// silence (see stallPause). A silence that another node reports applies for one such pause.
func (l *Leaf) isStalled(now time.Time) bool {
	if l.peerSilence > 0 && now.Sub(l.peerSilenceAt) < stallPause(l.peerSilence) {
		return true
	}
	silence := l.silence(now)
	if silence == 0 {
		return false
	}
	if l.inFlight > 0 {
		return true
	}
	return now.Sub(l.lastUnansweredAt) < stallPause(l.lastUnansweredAt.Sub(l.silentSince))
}

// silence returns how long an answer to this node has been outstanding; 0 while the leaf may still be working on it.
func (l *Leaf) silence(now time.Time) time.Duration {
	if l.silentSince.IsZero() {
		return 0
	}
	silence := now.Sub(l.silentSince)
	limit := defaultStallTimeout
	if l.latency > 0 {
		limit = max(minimumStallTimeout, time.Duration(stallFactor*l.latency*float64(time.Second)))
	}
	if silence < limit {
		return 0
	}
	return silence
}

// stallPause returns how long a leaf gets no attempts after a silence of the given length.
func stallPause(silence time.Duration) time.Duration {
	pause := time.Duration(shortPauseFactor * float64(silence))
	if silence > shortStall {
		pause = longPauseFactor * silence
	}
	return min(max(pause, minimumStallPause), maximumStallPause)
}

// updateSilence records whether an attempt ended with an answer. Any answer ends the silence, but a failed or cancelled
// attempt does not.
func (l *Leaf) updateSilence(outcome Outcome, now time.Time) {
	if outcome == Cancelled || outcome == Failed {
		l.lastUnansweredAt = now
		return
	}
	l.silentSince = time.Time{}
	l.peerSilence = 0
	l.answeredAt = now
	if l.inFlight > 0 {
		l.silentSince = now
	}
}

package balancer

import "time"

// Bounds of the silence after which a leaf is stalled.
const (
	stallFactor  = 3 // times the leaf's latency
	minimumStall = 20 * time.Millisecond
	// unknownStall is for a leaf that never answered this node.
	unknownStall = 150 * time.Millisecond
)

// Bounds of the pauses between the attempts that find out whether a stalled leaf is back.
const (
	minimumStallPause = 50 * time.Millisecond
	maximumStallPause = 2 * time.Second
	// shortStall is how long a healthy leaf may pause. After a longer silence the leaf is most likely gone, and is
	// asked more rarely, since each attempt delays a request.
	shortStall       = 400 * time.Millisecond
	shortPauseFactor = 0.5 // times the silence
	longPauseFactor  = 2   // times the silence
)

// isStalled decides whether a leaf is passed over because it owes answers.
//
// Inputs: how long the leaf has owed this node an answer, its average latency at this node, and the silence that another
// node reported.
//
// Rule: a leaf is stalled once it has owed an answer for stallFactor times its latency, at least minimumStall. While an
// attempt is in flight it stays stalled; after that, one attempt at a time finds out whether it is back, with pauses that
// grow with the silence (see stallPause). What another node reports counts for one such pause.
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
	return now.Sub(l.abandonedAt) < stallPause(l.abandonedAt.Sub(l.silentSince))
}

// silence returns how long the leaf has owed an answer to this node; 0 while it may just be
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

// stallPause returns how long a leaf that was silent for that long gets no attempt.
func stallPause(silence time.Duration) time.Duration {
	pause := time.Duration(shortPauseFactor * float64(silence))
	if silence > shortStall {
		pause = longPauseFactor * silence
	}
	return min(max(pause, minimumStallPause), maximumStallPause)
}

// updateSilence records whether an attempt ended with an answer: any answer ends the silence, an attempt that
// was given up does not.
func (l *Leaf) updateSilence(outcome Outcome, now time.Time) {
	if outcome == Abandoned || outcome == Failed {
		l.abandonedAt = now
		return
	}
	l.silentSince = time.Time{}
	l.peerSilence = 0
	l.answeredAt = now
	if l.inFlight > 0 {
		l.silentSince = now
	}
}

package reachability

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// minSilentLeafs is how many different leafs of a zone must be silent to check it: a single one may have
// crashed.
const minSilentLeafs = 2

// slowestFactor times its longest round trip is how long a zone has to answer.
const slowestFactor = 2

// zone is the state of another zone.
type zone struct {
	name string
	lost atomic.Bool
	// responded says that something in the zone responded since the last silent leaf, or since the last check
	// began.
	responded atomic.Bool
	// recheckPending says that a further check is scheduled.
	recheckPending atomic.Bool

	mu sync.Mutex
	// silent are different leafs that were silent without a response from the zone since, at most
	// minSilentLeafs.
	silent   []string
	checking bool
	// endedAt is when the last check ended.
	endedAt time.Time
	// slowest is the longest round trip to one of its nodes.
	slowest time.Duration
}

// addSilent records a silent leaf, and reports whether there are enough to check the zone. A check in progress
// makes its own observations.
func (z *zone) addSilent(leafID string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.checking {
		return false
	}
	if z.responded.Swap(false) {
		z.silent = nil
	}
	if !slices.Contains(z.silent, leafID) && len(z.silent) < minSilentLeafs {
		z.silent = append(z.silent, leafID)
	}
	return len(z.silent) >= minSilentLeafs
}

// beginCheck reports whether the zone may be checked now; if so, endCheck must follow.
func (z *zone) beginCheck(pause time.Duration) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.checking || !z.endedAt.IsZero() && time.Since(z.endedAt) < pause {
		return false
	}
	z.checking = true
	z.responded.Store(false)
	return true
}

func (z *zone) endCheck() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.checking, z.silent = false, nil
	z.endedAt = time.Now()
}

// recordAnswerTime records the round trip of an answer.
func (z *zone) recordAnswerTime(answer time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.slowest = max(z.slowest, answer)
}

// timeout returns how long the zone has to answer: at least the given time, longer if its round trips are
// longer, and at most answerLimit.
func (z *zone) timeout(least time.Duration) time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	return min(max(least, slowestFactor*z.slowest), answerLimit)
}

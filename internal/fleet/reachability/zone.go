package reachability

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// leastSilent is how many distinct leafs of a zone must be silent for it to be looked at: one may be dead.
const leastSilent = 2

// zone is what a node knows of another zone.
type zone struct {
	name string
	lost atomic.Bool
	// heard says that the zone was heard of since the last silence was noted, or the last look began.
	heard atomic.Bool
	// looksAgain says that a further look is to come.
	looksAgain atomic.Bool

	mu sync.Mutex
	// silent are distinct leafs that were silent with nothing heard since, leastSilent at most.
	silent  []string
	looking bool
	// endedAt is when the last look ended.
	endedAt time.Time
	// slowest is the longest that an answer of one of its nodes took.
	slowest time.Duration
}

// another notes a silent leaf, and reports whether enough are. A look under way has its own count.
func (z *zone) another(leafID string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.looking {
		return false
	}
	if z.heard.Swap(false) {
		z.silent = nil
	}
	if !slices.Contains(z.silent, leafID) && len(z.silent) < leastSilent {
		z.silent = append(z.silent, leafID)
	}
	return len(z.silent) >= leastSilent
}

// beginLook reports whether the zone may be looked at now; endLook must follow.
func (z *zone) beginLook(pause time.Duration) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.looking || !z.endedAt.IsZero() && time.Since(z.endedAt) < pause {
		return false
	}
	z.looking = true
	z.heard.Store(false)
	return true
}

func (z *zone) endLook() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.looking, z.silent = false, nil
	z.endedAt = time.Now()
}

// took notes how long an answer took.
func (z *zone) took(answer time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.slowest = max(z.slowest, answer)
}

// slowestParts is how many times its slowest answer a zone gets to answer.
const slowestParts = 2

// wait returns how long the zone gets to answer: more where its answers were seen to take longer.
func (z *zone) wait(least time.Duration) time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	return min(max(least, slowestParts*z.slowest), answerLimit)
}

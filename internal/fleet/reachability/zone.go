package reachability

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// minSilentLeafs is how many different leafs of a zone must be silent before it is checked; a single one may have
// crashed.
const minSilentLeafs = 2

// roundTripFactor times the longest round trip to a zone is the timeout of its checks.
const roundTripFactor = 2

// zone is the state of another zone.
type zone struct {
	name string
	lost atomic.Bool
	// responded is true if anything in the zone responded since the last silent leaf, or since the last check began.
	responded atomic.Bool
	// recheckPending is true while another check is scheduled.
	recheckPending atomic.Bool

	mu sync.Mutex
	// silentLeafs holds the IDs of different leafs that did not respond since the last response from the zone; at most
	// minSilentLeafs.
	silentLeafs []string
	checking    bool
	// checkedAt is when the last check ended.
	checkedAt time.Time
	// longestRoundTrip is the longest round trip to any node of the zone.
	longestRoundTrip time.Duration
}

// addSilent records a silent leaf, and reports whether there are enough of them to check the zone. It does nothing
// during a check, which makes its own observations.
func (z *zone) addSilent(leafID string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.checking {
		return false
	}
	if z.responded.Swap(false) {
		z.silentLeafs = nil
	}
	if !slices.Contains(z.silentLeafs, leafID) && len(z.silentLeafs) < minSilentLeafs {
		z.silentLeafs = append(z.silentLeafs, leafID)
	}
	return len(z.silentLeafs) >= minSilentLeafs
}

// beginCheck reports whether the zone may be checked now. If so, the caller must call endCheck after the check.
func (z *zone) beginCheck(pause time.Duration) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.checking || !z.checkedAt.IsZero() && time.Since(z.checkedAt) < pause {
		return false
	}
	z.checking = true
	z.responded.Store(false)
	return true
}

func (z *zone) endCheck() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.checking, z.silentLeafs = false, nil
	z.checkedAt = time.Now()
}

func (z *zone) recordRoundTrip(roundTrip time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.longestRoundTrip = max(z.longestRoundTrip, roundTrip)
}

// timeout returns how long a check waits for answers from the zone: roundTripFactor times its longest round trip, but at
// least minimum and at most answerLimit.
func (z *zone) timeout(minimum time.Duration) time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	return min(max(minimum, roundTripFactor*z.longestRoundTrip), answerLimit)
}

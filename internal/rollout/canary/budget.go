package canary

import (
	"time"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// The slack is released linearly between these fractions of a spec's duration: after the canary has received its share
// for a while, and early enough to evaluate the additional answers before the spec ends.
const (
	slackFrom  = 0.25
	slackUntil = 0.5
)

// onceShare is the fraction of the slack that is reserved for requests that must run at most once, if there are any:
// a canary needs answers on their routes to pass evaluation. A larger fraction would leave too little evidence for the
// other routes.
const onceShare = 0.25

// rampFraction is the largest fraction of a spec's duration that the ramp takes. A version that passes evaluation on
// little evidence has only a quarter of the duration left, which must also cover writing the verdict and querying the
// nodes.
const rampFraction = 0.1

// focusTurns is the number of turns during a spec; in each turn bounded decisions prefer the next leaf.
const focusTurns = 12

// budget limits the requests that this node sends to the canary version of one spec. It is guarded by Splitter.mu.
type budget struct {
	specID int64
	// learnedAt is when this node learned of the spec. switchedAt is when it learned that the version has passed
	// evaluation, zero before.
	learnedAt, switchedAt time.Time
	duration              time.Duration
	// fleetShare is this node's share of the fleet's slack, 0 to 1. It never increases.
	fleetShare float64
	// start is the initial credit, a random fraction of a request. Of many nodes with one request each, it makes some
	// send the request to the canary instead of all or none.
	start float64
	// requests counts all requests since the node learned of the spec. repeatable and once count those that were sent
	// to the canary.
	requests, repeatable, once int64
	// hasOnce reports whether this node has received a request that must run at most once.
	hasOnce bool
}

// elapsed returns the elapsed fraction of the spec's duration, 1 or more after its end.
func (b *budget) elapsed(now time.Time) float64 {
	return float64(now.Sub(b.learnedAt)) / float64(b.duration)
}

// isOver reports whether the spec's duration has ended.
func (b *budget) isOver(now time.Time) bool { return b.elapsed(now) >= 1 }

// hasRoom reports whether one more request may go to a canary that has not passed evaluation yet. A repeatable one may
// go there if the requests sent to the canary stay within UsedFraction times Share of this node's requests, plus the
// released slack, minus the reserve for at-most-once requests. An at-most-once request may go there in the second half
// of the spec, within the slack that repeatable ones left. Both kinds may exceed their limit by the initial credit.
func (b *budget) hasRoom(cfg Config, once bool, now time.Time) bool {
	share := cfg.UsedFraction * cfg.Share * float64(b.requests)
	slack := cfg.UsedFraction * cfg.Slack * b.fleetShare
	if !once {
		return float64(b.repeatable+b.once+1) <= share+slack*b.releasedSlack(now)-b.reservedForOnce(slack, now)+b.start
	}
	if b.elapsed(now) < slackUntil {
		return false
	}
	left := slack - max(0, float64(b.repeatable)-share)
	return float64(b.once+1) <= left+b.start
}

// reservedForOnce returns the part of the released slack that is reserved for requests that must run at most once.
func (b *budget) reservedForOnce(slack float64, now time.Time) float64 {
	if !b.hasOnce {
		return 0
	}
	return max(0, onceShare*slack*b.releasedSlack(now)-float64(b.once))
}

// releasedSlack returns the fraction of the slack, 0 to 1, that has been released.
func (b *budget) releasedSlack(now time.Time) float64 {
	return min(1, max(0, (b.elapsed(now)-slackFrom)/(slackUntil-slackFrom)))
}

// count adds delta to the number of requests sent to the canary.
func (b *budget) count(once bool, delta int64) {
	if once {
		b.once += delta
		return
	}
	b.repeatable += delta
}

// focusOrder returns leafs in the order of preference for the current turn.
func (b *budget) focusOrder(leafs []*leafset.Leaf, now time.Time) []*leafset.Leaf {
	if len(leafs) == 0 {
		return nil
	}
	turn := int(focusTurns*max(0, b.elapsed(now))) % len(leafs)
	focused := make([]*leafset.Leaf, 0, len(leafs))
	focused = append(focused, leafs[turn:]...)
	return append(focused, leafs[:turn]...)
}

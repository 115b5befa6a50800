package canary

import (
	"time"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// The slack is released between these parts of a spec's duration: a version gets the load of its share before it gets
// more, and what the slack shows is known before the time is over.
const (
	slackFrom  = 0.25
	slackUntil = 0.5
)

// onceShare is the share of the slack that repeatable requests leave to requests that must run at most once, if there
// are any: a version must show itself on their routes before it is found good. A larger share would take evidence from
// the other routes.
const onceShare = 0.25

// rampFraction is the largest fraction of a spec's duration that the ramp takes: a version found good on little evidence
// has only a quarter left, in which the verdict is written and the nodes are asked, too.
const rampFraction = 0.1

// focusTurns is the number of leafs that bounded decisions go to, one after the other, during a spec.
const focusTurns = 12

// budget is how many requests this node may send to the canary version of one spec. The lock of the splitter
// guards it.
type budget struct {
	specID int64
	// learnedAt is when this node learned of the spec, switchedAt when it learned that the version was found good;
	// zero before.
	learnedAt, switchedAt time.Time
	duration              time.Duration
	// fleetShare is this node's share of the fleet's slack, 0 to 1; it only decreases.
	fleetShare float64
	// start is a random fraction of a request that the budget starts with, so that of many nodes with one request
	// each some send it to the version, not all or none.
	start float64
	// requests counts the requests since the spec was learned of; repeatable and once of them went to the version.
	requests, repeatable, once int64
	// hasOnce says that this node got a request that must run at most once.
	hasOnce bool
}

// elapsed returns the fraction of the spec's duration that is over, 1 or more after its end.
func (b *budget) elapsed(now time.Time) float64 {
	return float64(now.Sub(b.learnedAt)) / float64(b.duration)
}

// isOver reports whether the spec's duration has ended.
func (b *budget) isOver(now time.Time) bool { return b.elapsed(now) >= 1 }

// hasRoom decides whether one more request may go to a version that is not yet found good.
//
// A repeatable request may if all requests sent there stay within Used times Share of this node's requests, plus the
// slack released so far, less what is reserved for requests that must run at most once. A request that must run at
// most once may from the middle of the spec on, within the slack that the others left.
func (b *budget) hasRoom(cfg Config, once bool, now time.Time) bool {
	share := cfg.Used * cfg.Share * float64(b.requests)
	slack := cfg.Used * cfg.Slack * b.fleetShare
	if !once {
		return float64(b.repeatable+b.once+1) <= share+slack*b.releasedSlack(now)-b.reservedForOnce(slack, now)+b.start
	}
	if b.elapsed(now) < slackUntil {
		return false
	}
	left := slack - max(0, float64(b.repeatable)-share)
	return float64(b.once+1) <= left+b.start
}

// reservedForOnce returns the share of the released slack that repeatable requests leave to requests that must run at
// most once.
func (b *budget) reservedForOnce(slack float64, now time.Time) float64 {
	if !b.hasOnce {
		return 0
	}
	return max(0, onceShare*slack*b.releasedSlack(now)-float64(b.once))
}

// releasedSlack returns the part of the slack, 0 to 1, that may be used by now.
func (b *budget) releasedSlack(now time.Time) float64 {
	return min(1, max(0, (b.elapsed(now)-slackFrom)/(slackUntil-slackFrom)))
}

// count counts a request sent to the version, or, with -1, takes one back.
func (b *budget) count(once bool, by int64) {
	if once {
		b.once += by
		return
	}
	b.repeatable += by
}

// focusOrder returns leafs in the order in which they are tried now.
func (b *budget) focusOrder(leafs []*leafset.Leaf, now time.Time) []*leafset.Leaf {
	if len(leafs) == 0 {
		return nil
	}
	turn := int(focusTurns*max(0, b.elapsed(now))) % len(leafs)
	focused := make([]*leafset.Leaf, 0, len(leafs))
	focused = append(focused, leafs[turn:]...)
	return append(focused, leafs[:turn]...)
}

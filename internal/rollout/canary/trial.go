package canary

import (
	"time"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// Parts of an order's duration: the slack is released from the first to the second, so that a version is under the
// load of its share before it is under more, and what that shows is known before the time is over.
const (
	slackFrom  = 0.25
	slackUntil = 0.5
)

// oncePart is the part of the slack that repeatable requests leave to those that must run once at most, where there are
// any, since a version must show itself on their route before it is found good. Of a slack of 50, 0.8 of it used, it is
// ten requests: a version that fails half of them shows none in 1 of 1000 orders, one that fails a fifth in 1 of 9.
// More would take evidence from the other routes. Other parts were not measured yet.
const oncePart = 0.25

// rampPart is the part of an order's duration that the move to a version found good takes at most: one found good by
// little has only a quarter left, in which the verdict is written, and the nodes move and are asked, too.
const rampPart = 0.1

// focusTurns is how many leafs the version's draws go to one after the other during an order.
const focusTurns = 12

// trial is what a node keeps of one order. The lock of the splitter guards it.
type trial struct {
	order int64
	// learned is when this node learned of the order, switched when of the version having been found good; zero
	// before.
	learned, switched time.Time
	duration          time.Duration
	// part is this node's part of the slack, which only falls.
	part float64
	// start is the part of a request that the bound starts with: of many nodes with a request each, some try the
	// version and not all or none.
	start float64
	// requests were counted since the order was learned of; repeatable and once of them went to the version.
	requests, repeatable, once int64
	// hasOnce says that this node was asked something that must run once at most.
	hasOnce bool
}

// elapsed gives the part of the order's duration that is over; 1 and more when it has ended.
func (t *trial) elapsed(now time.Time) float64 {
	return float64(now.Sub(t.learned)) / float64(t.duration)
}

// isOver reports whether the order's duration has ended.
func (t *trial) isOver(now time.Time) bool { return t.elapsed(now) >= 1 }

// hasRoom reports whether the bound leaves room for one more request.
func (t *trial) hasRoom(cfg Config, once bool, now time.Time) bool {
	share := cfg.Used * cfg.Share * float64(t.requests)
	slack := cfg.Used * cfg.Slack * t.part
	if !once {
		return float64(t.repeatable+t.once+1) <= share+slack*t.released(now)-t.kept(slack, now)+t.start
	}
	if t.elapsed(now) < slackUntil {
		return false
	}
	left := slack - max(0, float64(t.repeatable)-share)
	return float64(t.once+1) <= left+t.start
}

// kept gives what repeatable requests must leave of the slack released by now to those that must run once at most.
func (t *trial) kept(slack float64, now time.Time) float64 {
	if !t.hasOnce {
		return 0
	}
	return max(0, oncePart*slack*t.released(now)-float64(t.once))
}

// released gives the part of the slack that may be used by now.
func (t *trial) released(now time.Time) float64 {
	return min(1, max(0, (t.elapsed(now)-slackFrom)/(slackUntil-slackFrom)))
}

// count counts a request that goes to the version, or, by -1, one that did not go there after all.
func (t *trial) count(once bool, by int64) {
	if once {
		t.once += by
		return
	}
	t.repeatable += by
}

// focus gives leafs in the order in which they are tried now.
func (t *trial) focus(leafs []*leafset.Leaf, now time.Time) []*leafset.Leaf {
	if len(leafs) == 0 {
		return nil
	}
	turn := int(focusTurns*max(0, t.elapsed(now))) % len(leafs)
	focused := make([]*leafset.Leaf, 0, len(leafs))
	focused = append(focused, leafs[turn:]...)
	return append(focused, leafs[:turn]...)
}

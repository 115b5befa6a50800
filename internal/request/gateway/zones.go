package gateway

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// minimumUnanswered is how long an attempt must stay unanswered to indicate that its leaf's zone is unreachable: longer
// than a round trip between near zones plus the run time of a fast leaf. A shorter time would only cause needless pings of
// the zone.
const minimumUnanswered = 20 * time.Millisecond

// inReachableZones removes the candidates in unreachable zones.
func (g *Gateway) inReachableZones(candidates []balancer.Candidate) []balancer.Candidate {
	if !g.zones.AnyLost() {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate balancer.Candidate) bool { return !g.zones.Reaches(candidate.Zone) })
}

// observeZone reports to the reachability tracker what the end of an attempt shows about its leaf's zone. A connection
// that is refused or reset at once shows nothing about the zone: crashed leafs cause the same in reachable zones.
func (g *Gateway) observeZone(leaf *balancer.Leaf, result attemptResult, took time.Duration) {
	switch result.Outcome {
	case balancer.Succeeded, balancer.Shed, balancer.Drained, balancer.Declined:
		g.zones.Responded(leaf.Zone)
	case balancer.Failed, balancer.Cancelled:
		switch {
		case result.Execution == scatter.Ran:
			g.zones.Responded(leaf.Zone)
		case took >= minimumUnanswered:
			g.zones.NoResponse(leaf.Zone, leaf.ID)
		}
	}
}

// observeZone reports to the reachability tracker what the end of a group call shows about the zone of the node that it
// was sent to.
func (c *groupCall) observeZone(outcome GroupOutcome) {
	zone := c.group.node.Zone
	switch outcome {
	case GroupAnswered, GroupFailed, GroupDeclined, GroupStopping:
		c.root.zones.Responded(zone)
	case GroupSilent, GroupNeverSent, GroupBroken:
		c.root.zones.Suspect(zone)
	case GroupCancelled:
	}
}

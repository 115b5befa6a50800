package gateway

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// minimumUnanswered is how long an attempt must have been out without an answer to say anything of the zone
// of its leaf: the ways between near zones and the work of a fast leaf take less. It is not measured; one
// that is too short only has a zone looked at for nothing.
const minimumUnanswered = 20 * time.Millisecond

// inReach leaves out the candidates of lost zones.
func (g *Gateway) inReach(candidates []balancer.Candidate) []balancer.Candidate {
	if !g.zones.AnyLost() {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate balancer.Candidate) bool { return !g.zones.Reaches(candidate.Zone) })
}

// observeZone learns from the end of an attempt whether the zone of its leaf is in reach. A connection that
// was refused or reset tells nothing: a leaf that died may do so from anywhere.
func (g *Gateway) observeZone(leaf *balancer.Leaf, result scatter.Result[leafhttp.Response], took time.Duration) {
	switch result.Outcome {
	case balancer.Succeeded, balancer.Shed, balancer.Drained, balancer.Declined:
		g.zones.Heard(leaf.Zone)
	case balancer.Failed, balancer.Abandoned:
		switch {
		case result.Execution == scatter.Ran:
			g.zones.Heard(leaf.Zone)
		case took >= minimumUnanswered:
			g.zones.Silent(leaf.Zone, leaf.ID)
		}
	}
}

// observeZone learns from the end of a group whether the zone of the node that was asked is in reach.
func (p *groupCall) observeZone(outcome GroupOutcome) {
	zone := p.group.node.Zone
	switch outcome {
	case GroupAnswered, GroupFailed, GroupDeclined, GroupLeaving:
		p.root.zones.Heard(zone)
	case GroupSilent, GroupNeverSent, GroupBroken:
		p.root.zones.Suspect(zone)
	case GroupCancelled:
	}
}

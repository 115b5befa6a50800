package configsync

import (
	"context"
	"sync"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/registry"
)

// ZoneStatus counts the nodes of a zone that answered a status query.
type ZoneStatus struct {
	Zone string
	peer.StatusReply
}

// Status counts the nodes of each zone that have a revision in force. Unreachable zones are left out.
func (s *Syncer) Status(ctx context.Context, revision int64) []ZoneStatus {
	own := ZoneStatus{Zone: s.members.Self().Zone, StatusReply: s.HandleStatus(ctx, peer.StatusQuery{Revision: revision, WholeZone: true})}
	statuses := []ZoneStatus{own}
	var mu sync.Mutex
	var pending sync.WaitGroup
	for zone, addresses := range s.contactsByZone() {
		pending.Go(func() {
			reply, found := s.queryZone(ctx, addresses, revision)
			if !found {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, ZoneStatus{Zone: zone, StatusReply: reply})
		})
	}
	pending.Wait()
	return statuses
}

func (s *Syncer) contactsByZone() map[string][]string {
	byZone := map[string][]string{}
	for _, contact := range s.Contacts() {
		byZone[contact.Zone] = append(byZone[contact.Zone], contact.Address)
	}
	return byZone
}

func (s *Syncer) queryZone(ctx context.Context, addresses []string, revision int64) (peer.StatusReply, bool) {
	for _, address := range addresses {
		reply, found := s.queryStatus(ctx, address, peer.StatusQuery{Revision: revision, WholeZone: true})
		if found {
			return reply, true
		}
	}
	return peer.StatusReply{}, false
}

func (s *Syncer) queryStatus(ctx context.Context, address string, query peer.StatusQuery) (peer.StatusReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeoutFactor*s.cfg.CallTimeout)
	defer cancel()
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), StatusQuery: &query})
	defer answer.Release()
	if err != nil || answer.StatusReply == nil {
		return peer.StatusReply{}, false
	}
	return *answer.StatusReply, true
}

// HandleStatus counts this node and the nodes in the query's subtree or the whole zone, over a tree like a push.
func (s *Syncer) HandleStatus(ctx context.Context, query peer.StatusQuery) peer.StatusReply {
	total := s.ownStatus(query.Revision)
	subtree := query.Subtree
	if query.WholeZone {
		subtree = s.otherAddresses()
	}
	var mu sync.Mutex
	var pending sync.WaitGroup
	for _, branch := range split(subtree, s.cfg.FanOut) {
		pending.Go(func() {
			reply, found := s.queryBranch(ctx, branch, query.Revision)
			if !found {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			total.Nodes += reply.Nodes
			total.InForce += reply.InForce
			total.LowestRevision = min(total.LowestRevision, reply.LowestRevision)
			total.Settled += reply.Settled
			total.LowestSettled = min(total.LowestSettled, reply.LowestSettled)
			total.Registered += reply.Registered
		})
	}
	pending.Wait()
	return total
}

// ownStatus counts this node alone.
func (s *Syncer) ownStatus(wanted int64) peer.StatusReply {
	// Read before the revision in force, so that it never exceeds it.
	settledAt := s.settledAt()
	revision := s.catalog.Revision()
	own := peer.StatusReply{Nodes: 1, LowestRevision: revision, LowestSettled: settledAt}
	if revision >= wanted {
		own.InForce = 1
	}
	if settledAt >= wanted {
		own.Settled = 1
	}
	self := s.members.Self().ID
	if _, isRegistered := s.catalog.View().Nodes[self]; isRegistered {
		own.Registered = registry.NodeFingerprint(self)
	}
	return own
}

// queryBranch queries the nodes of a branch in order until one answers for the rest of the branch. Nodes that don't
// answer are not counted.
func (s *Syncer) queryBranch(ctx context.Context, branch []string, revision int64) (peer.StatusReply, bool) {
	for index, address := range branch {
		reply, found := s.queryStatus(ctx, address, peer.StatusQuery{Revision: revision, Subtree: branch[index+1:]})
		if found {
			return reply, true
		}
	}
	return peer.StatusReply{}, false
}

// otherAddresses returns the peer addresses of the other members of the zone.
func (s *Syncer) otherAddresses() []string {
	var addresses []string
	for _, member := range s.otherMembers() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// otherMembers returns the other members of the zone.
func (s *Syncer) otherMembers() []peer.Member {
	self := s.members.Self().ID
	var others []peer.Member
	for _, member := range s.members.Members() {
		if member.ID != self {
			others = append(others, member)
		}
	}
	return others
}

package configsync

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// renewalShare divides the term of a notice: one that expires this much later than the known one is a renewal.
const renewalShare = 2

// Bounds of the notices on datagrams: how many are on one, and how often each is passed on.
const (
	noticesPerMessage = 4
	noticePasses      = 8
)

// notice says that a leaf is leaving and must get no new requests.
type notice struct {
	until  time.Time // when the notice expires
	passes int       // how many datagrams have carried it
	// pushedUntil is the expiry that this node pushed as a watcher. A notice received by gossip has not been
	// pushed to other zones by this node.
	pushedUntil time.Time
}

// Notices implements membership.Listener: it returns notices that have not been passed on often enough.
func (s *Syncer) Notices() []peer.LeafNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []peer.LeafNotice
	now := time.Now()
	for leafID, known := range s.notices {
		if now.After(known.until) {
			delete(s.notices, leafID)
			continue
		}
		if known.passes >= noticePasses || len(chosen) >= noticesPerMessage {
			continue
		}
		known.passes++
		chosen = append(chosen, peer.LeafNotice{LeafID: leafID, Millis: known.until.Sub(now).Milliseconds()})
	}
	return chosen
}

// handleNotices records the notices from another node.
func (s *Syncer) handleNotices(notices []peer.LeafNotice) {
	now := time.Now()
	for _, received := range notices {
		ttl := min(time.Duration(received.Millis)*time.Millisecond, s.config.LeavingTTL)
		s.recordNotice(received.LeafID, now.Add(ttl))
	}
}

// recordNotice records that a leaf is leaving. A renewal is gossiped again.
func (s *Syncer) recordNotice(leafID string, until time.Time) {
	s.leafs.SetLeaving(leafID, until)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.notices[leafID]
	if !found {
		s.notices[leafID] = &notice{until: until}
		return
	}
	if s.isRenewal(until, known.until) {
		known.until, known.passes = until, 0
	}
}

// isRenewal reports whether a notice expires so much later than the known one that it must be passed on again.
func (s *Syncer) isRenewal(until, known time.Time) bool {
	return until.Sub(known) >= s.config.LeavingTTL/renewalShare
}

// claimNoticePush reports whether this watcher must push a notice, and marks it as pushed.
func (s *Syncer) claimNoticePush(leafID string, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.notices[leafID]
	if !found || !s.isRenewal(until, known.pushedUntil) {
		return false
	}
	known.pushedUntil = until
	return true
}

// LeafDraining records that a leaf announced that it is leaving; gossip passes the notice on in the zone.
func (s *Syncer) LeafDraining(leafID string) {
	s.recordNotice(leafID, time.Now().Add(s.config.LeavingTTL))
}

// machineLoop lets watchers read the zone's leafs on the machine list and spread the notice of those that are
// leaving.
func (s *Syncer) machineLoop(ctx context.Context) {
	version := uint64(0)
	var leaving []string
	for pause(ctx, s.config.MachineListInterval) {
		if s.rank() == notAWatcher {
			version = 0
			continue
		}
		list, err := s.listMachines(ctx, machines.Query{Zone: s.members.Self().Zone, Role: machines.RoleLeaf, KnownVersion: version})
		if err != nil {
			continue
		}
		if !list.Unchanged {
			version = list.Version
			leaving = leavingLeafs(list)
		}
		s.pushLeaving(ctx, s.leafIDs(leaving))
	}
}

func leavingLeafs(list machines.List) []string {
	var leaving []string
	for _, machine := range list.Machines {
		if machine.State == machines.Leaving {
			leaving = append(leaving, machine.ID)
		}
	}
	return leaving
}

// leafIDs returns the ids of the leafs in force under the given names; the machine list doesn't distinguish
// processes of the same name.
func (s *Syncer) leafIDs(names []string) []string {
	known := s.catalog.View().Leafs
	ids := make([]string, 0, len(names))
	for _, name := range names {
		id := name
		if leaf, found := known.ByName(name); found {
			id = leaf.ID
		}
		ids = append(ids, id)
	}
	return ids
}

// pushLeaving pushes the notices that this watcher has not pushed yet, or that need renewal, to its own zone and
// to one node of each other zone, which passes them on there.
func (s *Syncer) pushLeaving(ctx context.Context, leaving []string) {
	until := time.Now().Add(s.config.LeavingTTL)
	isFirst := s.rank() == 0
	var news []peer.LeafNotice
	for _, leafID := range leaving {
		s.recordNotice(leafID, until)
		if isFirst && s.claimNoticePush(leafID, until) {
			news = append(news, peer.LeafNotice{LeafID: leafID, Millis: s.config.LeavingTTL.Milliseconds()})
		}
	}
	if len(news) == 0 {
		return
	}
	s.pushToZone(ctx, peer.Push{Notices: news})
	for _, addresses := range s.contactsByZone() {
		go s.pushToOtherZone(ctx, addresses, peer.Push{Notices: news, WholeZone: true})
	}
}

// pushToOtherZone sends a push to the first contact that accepts it.
func (s *Syncer) pushToOtherZone(ctx context.Context, addresses []string, push peer.Push) {
	for _, address := range addresses {
		if s.sendPush(ctx, address, push) {
			return
		}
	}
}

package configsync

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// renewalDivisor defines what a renewal is: a notice that expires at least Config.LeavingTTL / renewalDivisor later than
// the known one.
const renewalDivisor = 2

// Limits of the gossip of notices: how many a datagram carries, and how often each is transmitted.
const (
	noticesPerMessage   = 4
	noticeTransmissions = 8
)

// NoticeSource is the source from which a node learned that a leaf is leaving.
type NoticeSource string

// Sources of notices, as written to the decision log.
const (
	SourceLeaf        NoticeSource = "leaf"         // announced to this node by the leaf
	SourceMachineList NoticeSource = "machine_list" // read from the machine list by this node
	SourceGossip      NoticeSource = "gossip"       // received in a datagram from another node
	SourcePush        NoticeSource = "push"         // received in a push from another node
)

// notice says that a leaf is leaving and must get no new requests.
type notice struct {
	until         time.Time // when the notice expires
	transmissions int       // how many datagrams have carried it
	// pushedUntil is the expiry time of the notice that this node last pushed as a watcher, zero if it pushed none.
	// A notice that was received by gossip still has to be pushed to other zones.
	pushedUntil time.Time
}

// Notices implements membership.Listener. It returns up to noticesPerMessage notices that have not been transmitted
// noticeTransmissions times yet.
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
		if known.transmissions >= noticeTransmissions || len(chosen) >= noticesPerMessage {
			continue
		}
		known.transmissions++
		chosen = append(chosen, peer.LeafNotice{LeafID: leafID, Millis: known.until.Sub(now).Milliseconds()})
	}
	return chosen
}

// handleNotices records the notices received in a datagram from another node.
func (s *Syncer) handleNotices(notices []peer.LeafNotice) { s.recordNotices(notices, SourceGossip) }

// recordNotices records the notices received from another node.
func (s *Syncer) recordNotices(notices []peer.LeafNotice, source NoticeSource) {
	now := time.Now()
	for _, received := range notices {
		ttl := min(time.Duration(received.Millis)*time.Millisecond, s.cfg.LeavingTTL)
		s.recordNotice(received.LeafID, now.Add(ttl), source)
	}
}

// recordNotice records that a leaf is leaving, and calls onLeaving if the notice is new. A renewal is gossiped like a
// new notice.
func (s *Syncer) recordNotice(leafID string, until time.Time, source NoticeSource) {
	s.leafs.SetLeaving(leafID, until)
	if s.storeNotice(leafID, until) {
		s.onLeaving(leafID, source)
	}
}

// storeNotice stores or renews the notice of a leaf, and reports whether it is new.
func (s *Syncer) storeNotice(leafID string, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.notices[leafID]
	if !found {
		s.notices[leafID] = &notice{until: until}
		return true
	}
	if s.isRenewal(until, known.until) {
		known.until, known.transmissions = until, 0
	}
	return false
}

// isRenewal reports whether a notice expires so much later than the known one that it must be distributed again.
func (s *Syncer) isRenewal(until, known time.Time) bool {
	return until.Sub(known) >= s.cfg.LeavingTTL/renewalDivisor
}

// claimNoticePush reports whether this watcher must push a notice. If so, it marks the notice as pushed.
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

// LeafAnnouncedLeaving records that a leaf announced that it is leaving. The notice is gossiped in the zone.
func (s *Syncer) LeafAnnouncedLeaving(leafID string) {
	s.recordNotice(leafID, time.Now().Add(s.cfg.LeavingTTL), SourceLeaf)
}

// machineLoop makes watchers read the zone's leafs from the machine list and push notices of the leaving ones.
func (s *Syncer) machineLoop(ctx context.Context) {
	version := uint64(0)
	var leaving []string
	for pause(ctx, s.cfg.MachineListInterval) {
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

// leafIDs returns the IDs of the leafs that are registered under the given names. The machine list doesn't distinguish
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

// pushLeaving records notices of leaving leafs. The first watcher pushes new and renewed ones to its own zone, and to
// one node of each other zone, which pushes them there.
func (s *Syncer) pushLeaving(ctx context.Context, leaving []string) {
	until := time.Now().Add(s.cfg.LeavingTTL)
	isFirst := s.rank() == 0
	var unpushed []peer.LeafNotice
	for _, leafID := range leaving {
		s.recordNotice(leafID, until, SourceMachineList)
		if isFirst && s.claimNoticePush(leafID, until) {
			unpushed = append(unpushed, peer.LeafNotice{LeafID: leafID, Millis: s.cfg.LeavingTTL.Milliseconds()})
		}
	}
	if len(unpushed) == 0 {
		return
	}
	s.pushToZone(ctx, peer.Push{Notices: unpushed})
	for _, addresses := range s.contactsByZone() {
		go s.pushToOtherZone(ctx, addresses, peer.Push{Notices: unpushed, WholeZone: true})
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

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

// maxWelcomeNotices limits the number of notices in the answer to a join.
const maxWelcomeNotices = 256

// NoticeSource is the source from which a node learned that a leaf is leaving.
type NoticeSource string

// Sources of notices, as written to the decision log.
const (
	SourceLeaf        NoticeSource = "leaf"         // announced to this node by the leaf
	SourceMachineList NoticeSource = "machine_list" // read from the machine list by this node
	SourceGossip      NoticeSource = "gossip"       // received from another node in a datagram or in the answer to a join
	SourcePush        NoticeSource = "push"         // received in a push from another node
)

// notice says that a leaf is leaving and must get no new requests.
type notice struct {
	until         time.Time // when the notice expires
	transmissions int       // how many datagrams have carried it
	recordedAt    time.Time // when the notice was recorded or last renewed
	isAnnounced   bool      // the leaf announced it to this node
	// pushedUntil is the expiry time of the notice that was last pushed to this node's zone, or zero if none was.
	pushedUntil time.Time
}

// Notices implements membership.Listener. It returns up to noticesPerMessage notices that have not been transmitted
// noticeTransmissions times yet.
func (s *Syncer) Notices() []peer.LeafNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dropExpiredNotices(now)
	var chosen []peer.LeafNotice
	for leafID, known := range s.notices {
		if known.transmissions >= noticeTransmissions || len(chosen) >= noticesPerMessage {
			continue
		}
		known.transmissions++
		chosen = append(chosen, encodeNotice(leafID, known.until, now))
	}
	return chosen
}

// unexpiredNotices returns up to maxWelcomeNotices unexpired notices. They are sent to a joining node, which may have
// missed their distribution.
func (s *Syncer) unexpiredNotices() []peer.LeafNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dropExpiredNotices(now)
	var notices []peer.LeafNotice
	for leafID, known := range s.notices {
		if len(notices) >= maxWelcomeNotices {
			break
		}
		notices = append(notices, encodeNotice(leafID, known.until, now))
	}
	return notices
}

// encodeNotice returns a notice as sent to other nodes, with the remaining lifetime instead of the expiry time.
func encodeNotice(leafID string, until, now time.Time) peer.LeafNotice {
	return peer.LeafNotice{LeafID: leafID, Millis: until.Sub(now).Milliseconds()}
}

// dropExpiredNotices removes expired notices. s.mu must be held.
func (s *Syncer) dropExpiredNotices(now time.Time) {
	for leafID, known := range s.notices {
		if now.After(known.until) {
			delete(s.notices, leafID)
		}
	}
}

// handleNotices records the notices received from another node in a datagram or in the answer to a join.
func (s *Syncer) handleNotices(notices []peer.LeafNotice) { s.recordNotices(notices, SourceGossip) }

// recordNotices records the notices received from another node. It reports whether any of them has not yet been
// pushed to this node's zone.
func (s *Syncer) recordNotices(notices []peer.LeafNotice, source NoticeSource) bool {
	now := time.Now()
	anyUnpushed := false
	for _, received := range notices {
		ttl := min(time.Duration(received.Millis)*time.Millisecond, s.cfg.LeavingTTL)
		if s.recordNotice(received.LeafID, now.Add(ttl), source) {
			anyUnpushed = true
		}
	}
	return anyUnpushed
}

// recordNotice records that a leaf is leaving, and calls onLeaving if the notice is new. A renewal is distributed like a
// new notice. It reports whether the notice has not yet been pushed to this node's zone.
func (s *Syncer) recordNotice(leafID string, until time.Time, source NoticeSource) bool {
	s.leafs.SetLeaving(leafID, until)
	isNew, isUnpushed := s.storeNotice(leafID, until, source)
	if isNew {
		s.onLeaving(leafID, source)
	}
	if isUnpushed && source != SourcePush {
		s.wakeNoticeLoop()
	}
	return isUnpushed
}

// storeNotice stores or renews the notice of a leaf. It reports whether the notice is new, and whether it has not yet
// been pushed to this node's zone.
func (s *Syncer) storeNotice(leafID string, until time.Time, source NoticeSource) (isNew, isUnpushed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	known, found := s.notices[leafID]
	isNew = !found || now.After(known.until)
	switch {
	case isNew:
		s.dropExpiredNotices(now)
		known = &notice{until: until, recordedAt: now}
		s.notices[leafID] = known
	case s.isRenewal(until, known.until):
		known.until, known.recordedAt, known.transmissions = until, now, 0
	}
	isUnpushed = s.isUnpushed(known)
	switch source {
	case SourceLeaf:
		known.isAnnounced = true
	case SourcePush:
		s.markPushed(leafID, known, until)
	}
	return isNew, isUnpushed
}

// isRenewal reports whether a notice expires so much later than the known one that it must be distributed again.
func (s *Syncer) isRenewal(until, known time.Time) bool {
	return until.Sub(known) >= s.cfg.LeavingTTL/renewalDivisor
}

// isUnpushed reports whether a notice or its last renewal has not yet been pushed to this node's zone. s.mu must be
// held.
func (s *Syncer) isUnpushed(known *notice) bool { return s.isRenewal(known.until, known.pushedUntil) }

// LeafAnnouncedLeaving records that a leaf announced that it is leaving. The notice is distributed to all zones.
func (s *Syncer) LeafAnnouncedLeaving(leafID string) {
	s.recordNotice(leafID, time.Now().Add(s.cfg.LeavingTTL), SourceLeaf)
}

// machineLoop makes watchers read the zone's leafs from the machine list and record notices of the leaving ones.
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
		until := time.Now().Add(s.cfg.LeavingTTL)
		for _, leafID := range s.leafIDs(leaving) {
			s.recordNotice(leafID, until, SourceMachineList)
		}
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

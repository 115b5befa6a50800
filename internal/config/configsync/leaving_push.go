package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/wait"
)

// zoneOutbox holds the notices that are still to be sent to another zone.
type zoneOutbox struct {
	pending map[string]time.Time // expiry time by leaf ID
	sending bool                 // sendOutbox is running
}

// wakeNoticeLoop signals noticeLoop that there are unpushed notices. It does not block.
func (s *Syncer) wakeNoticeLoop() {
	select {
	case s.newNotices <- struct{}{}:
	default:
	}
}

// noticeLoop distributes the notices that have not yet been pushed to the zone, and blocks while there are none. Gossip
// alone is too slow in a large zone and does not reach other zones.
func (s *Syncer) noticeLoop(ctx context.Context) {
	var lastPush time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.newNotices:
		}
		for s.hasUnpushedNotices() {
			if !wait.For(ctx, s.noticeDelay(lastPush)) {
				return
			}
			if s.distributeNotices(ctx) {
				lastPush = time.Now()
			}
		}
	}
}

// noticeDelay returns how long to collect notices before distributing them. The first watcher pushes after
// Config.BatchDelay, but at most once per Config.PushInterval. Other nodes wait for a jittered interval, so that most
// nodes to which a leaf announced that it is leaving receive the push before they notify the watchers.
func (s *Syncer) noticeDelay(lastPush time.Time) time.Duration {
	if s.rank() == 0 {
		return max(s.cfg.BatchDelay, s.cfg.PushInterval-time.Since(lastPush))
	}
	return wait.Jittered(s.cfg.PushInterval)
}

// distributeNotices pushes unpushed notices if this node is a watcher. Otherwise, it notifies the watchers of the notices
// that leafs announced to this node. The first watcher pushes immediately. A standby of rank n pushes only notices that
// are at least n * (Config.MachineListInterval + Config.BackupDelay) old, because the first watcher may read the machine
// list that much later. distributeNotices reports whether it pushed.
func (s *Syncer) distributeNotices(ctx context.Context) bool {
	rank := s.rank()
	if rank == notAWatcher {
		s.notifyWatchers()
		return false
	}
	notices := s.claimNotices(time.Duration(rank) * (s.cfg.MachineListInterval + s.cfg.BackupDelay))
	if len(notices) == 0 {
		return false
	}
	s.pushToZone(ctx, peer.Push{Notices: notices})
	s.notifyOtherZones(ctx, notices)
	return true
}

// hasUnpushedNotices drops expired notices and reports whether any remaining one is unpushed.
func (s *Syncer) hasUnpushedNotices() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredNotices(time.Now())
	for _, known := range s.notices {
		if s.isUnpushed(known) {
			return true
		}
	}
	return false
}

// claimNotices marks the unpushed notices that were recorded or renewed at least minAge ago as pushed, and returns them
// for this watcher to push.
func (s *Syncer) claimNotices(minAge time.Duration) []peer.LeafNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var claimed []peer.LeafNotice
	for leafID, known := range s.notices {
		if s.isUnpushed(known) && now.Sub(known.recordedAt) >= minAge && now.Before(known.until) {
			known.pushedUntil = known.until
			claimed = append(claimed, encodeNotice(leafID, known.until, now))
		}
	}
	return claimed
}

// markPushed records that a notice was received by push. It removes the notice from the outboxes, because the watcher
// that started the push also notifies the other zones. s.mu must be held.
func (s *Syncer) markPushed(leafID string, known *notice, until time.Time) {
	if until.After(known.pushedUntil) {
		known.pushedUntil = until
	}
	for _, outbox := range s.outboxes {
		delete(outbox.pending, leafID)
	}
}

// notifyWatchers sends the watchers a datagram with unpushed notices that leafs announced to this node. noticeLoop repeats
// this until the notices are pushed or expire, because datagrams may be lost.
func (s *Syncer) notifyWatchers() {
	announced := s.unpushedAnnouncements()
	if len(announced) == 0 {
		return
	}
	for _, watcher := range s.watchers() {
		s.transport.Send(watcher.Address, peer.Message{Digest: s.Digest(), Notices: announced})
	}
}

// unpushedAnnouncements returns up to noticesPerMessage unpushed notices that leafs announced to this node.
func (s *Syncer) unpushedAnnouncements() []peer.LeafNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var announced []peer.LeafNotice
	for leafID, known := range s.notices {
		if known.isAnnounced && s.isUnpushed(known) && len(announced) < noticesPerMessage {
			announced = append(announced, encodeNotice(leafID, known.until, now))
		}
	}
	return announced
}

// notifyOtherZones sends notices to one node of each other zone, which pushes them to its zone. Sending to an unreachable
// zone is retried until the notices expire.
func (s *Syncer) notifyOtherZones(ctx context.Context, notices []peer.LeafNotice) {
	now := time.Now()
	for zone := range s.contactsByZone() {
		if s.addToOutbox(zone, notices, now) {
			go s.sendOutbox(ctx, zone)
		}
	}
}

// addToOutbox adds notices to the outbox of a zone. It reports whether the caller must start sendOutbox because it is not
// running for this zone.
func (s *Syncer) addToOutbox(zone string, notices []peer.LeafNotice, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	outbox, found := s.outboxes[zone]
	if !found {
		outbox = &zoneOutbox{pending: map[string]time.Time{}}
		s.outboxes[zone] = outbox
	}
	for _, added := range notices {
		until := now.Add(time.Duration(added.Millis) * time.Millisecond)
		if until.After(outbox.pending[added.LeafID]) {
			outbox.pending[added.LeafID] = until
		}
	}
	mustStart := !outbox.sending
	outbox.sending = true
	return mustStart
}

// sendOutbox sends the notices in the outbox of a zone, with retries, until the outbox is empty. It starts after a random
// delay: if a leaf announced to nodes of several zones that it is leaving, the first push that arrives from another zone
// makes the remaining ones unnecessary.
func (s *Syncer) sendOutbox(ctx context.Context, zone string) {
	retryAfter := s.cfg.RetryPause
	for ok := wait.For(ctx, rand.N(s.cfg.BackupDelay)); ok; ok = pause(ctx, retryAfter) {
		notices := s.takeFromOutbox(zone)
		if len(notices) == 0 {
			return
		}
		if s.pushToOtherZone(ctx, zone, peer.Push{Notices: notices, WholeZone: true}) {
			retryAfter = s.cfg.RetryPause
			continue
		}
		s.addToOutbox(zone, notices, time.Now())
		retryAfter = s.backoff(retryAfter)
	}
}

// takeFromOutbox empties the outbox of a zone and returns the notices that have not expired. If there are none,
// sendOutbox must return.
func (s *Syncer) takeFromOutbox(zone string) []peer.LeafNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	outbox := s.outboxes[zone]
	var notices []peer.LeafNotice
	for leafID, until := range outbox.pending {
		if now.Before(until) {
			notices = append(notices, encodeNotice(leafID, until, now))
		}
	}
	clear(outbox.pending)
	outbox.sending = len(notices) > 0
	return notices
}

// pushToOtherZone sends a push to the first contact in a zone that accepts it, and reports whether one did.
func (s *Syncer) pushToOtherZone(ctx context.Context, zone string, push peer.Push) bool {
	for _, address := range s.contactsByZone()[zone] {
		if s.sendPush(ctx, address, push) {
			return true
		}
	}
	return false
}

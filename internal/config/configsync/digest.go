package configsync

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// pullPostponements is how often a pull is postponed while pushes keep arriving. In a burst, the next push most likely
// contains the missing changes.
const pullPostponements = 3

// Digest implements membership.Listener.
func (s *Syncer) Digest() peer.Digest {
	return peer.Digest{
		Revision: s.catalog.Revision(), AgeMillis: s.catalog.Age().Milliseconds(), Retained: s.catalog.RetainedFingerprint(), HasEpochs: true,
	}
}

// Receive implements membership.Listener. A peer at the same revision confirms the configuration in force. The node pulls
// from a peer that has a newer revision or that retains other entries.
func (s *Syncer) Receive(from string, digest peer.Digest, notices []peer.LeafNotice) {
	s.handleNotices(notices)
	known := s.catalog.Revision()
	if s.isLegacy(digest) {
		s.readStoreForLegacy(digest)
		return
	}
	if digest.Revision == known && s.initialized.Load() {
		s.catalog.Confirm(s.catalog.Now().Add(-s.queueDelay() - time.Duration(digest.AgeMillis)*time.Millisecond))
		s.compareRetained(from, digest)
	}
	if digest.Revision > known {
		s.pullLater(from, digest.Revision)
	}
}

// queueDelay returns how long a datagram that is read now may have been queued in the socket. Datagrams that arrived
// before the machine was suspended are read soon after it resumes.
func (s *Syncer) queueDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspendedFor := s.lastRead.Suspended(); suspendedFor > 0 {
		s.suspendedFor, s.suspendedUntil = suspendedFor, time.Now().Add(boottime.CheckInterval)
	}
	s.lastRead = s.catalog.Instant()
	if time.Now().Before(s.suspendedUntil) {
		return s.suspendedFor
	}
	return 0
}

// Resumed makes the node catch up after the machine was suspended: it reopens the watch, which may have ended
// unnoticed, and pulls from a watcher, since the configuration has aged by the length of the suspension.
func (s *Syncer) Resumed() {
	s.resumed.Store(true)
	for _, watcher := range s.watchers() {
		if watcher.ID != s.members.Self().ID {
			go s.pullFrom(context.Background(), watcher.Address)
			return
		}
	}
}

// pullLater pulls from a peer that has a newer revision, unless a push delivers the changes first. Digests are often
// faster than pushes, so an immediate pull would fetch most changes twice.
func (s *Syncer) pullLater(from string, revision int64) {
	if !s.pullPending.CompareAndSwap(false, true) {
		return
	}
	s.pullAfterDelay(from, revision, pullPostponements)
}

func (s *Syncer) pullAfterDelay(from string, revision int64, postponements int) {
	time.AfterFunc(s.cfg.PullDelay, func() {
		pushed := time.Since(time.Unix(0, s.lastPushAt.Load()))
		if s.catalog.Revision() < revision && pushed < s.cfg.PullDelay && postponements > 0 {
			s.pullAfterDelay(from, revision, postponements-1)
			return
		}
		s.pullPending.Store(false)
		if s.catalog.Revision() < revision {
			s.pullFrom(context.Background(), from)
		}
	})
}

package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// reservesPerZone is the number of members after the watchers that check the store if the watchers fail.
const reservesPerZone = 3

// reserveMargin is how many ranks later than a standby in its place a reserve checks the store, so that it rarely does
// while a standby checks it.
const reserveMargin = 2

// maxPeersAsked is how many peers a starting node asks before it checks the store, and askAhead is how long that may take.
const (
	maxPeersAsked = 2
	askAhead      = maxPeersAsked * higherRankedTimeout
)

// unrankedCheck says when a node that is not a watcher checks the store itself.
type unrankedCheck struct {
	// after is how long the configuration in force may be unconfirmed before the check.
	after time.Duration
	// isPushed is true if the node pushes what it finds to its zone.
	isPushed bool
	// asksPeers is true if the node first asks peers whose configuration was confirmed more recently.
	asksPeers bool
}

// waitUnranked runs one step of a node that is not a watcher: a pause before its rank is determined again, and a check of
// the store if the node must check it and neither a peer, asked or not, nor an earlier check confirmed the configuration in
// force. A check that failed is repeated after the same time, since the watchers of the zone retry sooner.
func (s *Syncer) waitUnranked(ctx context.Context) error {
	if !pause(ctx, s.cfg.RetryPause) || s.rank() != notAWatcher {
		return nil // in the second case the node has joined as a watcher meanwhile
	}
	check, mustCheck := s.unrankedCheck()
	if check.asksPeers && time.Since(s.unrankedCheckAt) >= check.after-askAhead {
		s.askPeers(ctx, check.after-askAhead)
	}
	if !mustCheck || s.confirmedWithin(check.after) {
		s.clearStoreDown()
		return nil
	}
	if time.Since(s.unrankedCheckAt) < check.after {
		return nil
	}
	s.unrankedCheckAt = time.Now()
	if check.isPushed {
		return s.checkStoreAndPush(ctx)
	}
	return s.checkStore(ctx)
}

// unrankedCheck returns when this node checks the store, and false if it relies on the watchers of its zone.
//
// Every node checks it until unstableTimeout after its start: until then the watchers may not know this node, or not count
// as joined themselves. Only nodes that would be watchers by the members known so far push what they find, since all nodes
// of a zone that restarts find the same. The others first ask those, so that a zone that restarts doesn't call the store
// with all of its nodes.
//
// Later only the reserves check it, the members after the watchers, each after those ahead of it: all watchers may fail at
// once, and the membership takes longer to declare them dead. Suspected members don't count.
func (s *Syncer) unrankedCheck() (check unrankedCheck, mustCheck bool) {
	order := s.order()
	isStarting := time.Since(s.startedAt) <= unstableTimeout
	switch {
	case isStarting && order.rank(s.cfg.WatchersPerZone) != notAWatcher:
		return unrankedCheck{after: s.cfg.CheckStoreAfter, isPushed: true}, true
	case isStarting:
		return unrankedCheck{after: s.unrankedCheckAfter, asksPeers: true}, true
	case order.isMember && order.aliveAhead < s.cfg.WatchersPerZone+reservesPerZone:
		place := max(s.cfg.WatchersPerZone, order.aliveAhead)
		return unrankedCheck{after: s.checkAfter(place + reserveMargin), isPushed: true}, true
	}
	return unrankedCheck{}, false
}

// askPeers pulls from live watchers of the zone, in random order, until the configuration in force is confirmed within a
// span. The watchers' confirmations are more recent than those that arrive by gossip.
func (s *Syncer) askPeers(ctx context.Context, span time.Duration) {
	if s.confirmedWithin(span) {
		return
	}
	watchers := s.watchers()
	rand.Shuffle(len(watchers), func(i, j int) { watchers[i], watchers[j] = watchers[j], watchers[i] })
	asked := 0
	for _, watcher := range watchers {
		if asked == maxPeersAsked {
			return
		}
		if watcher.State != peer.Alive || watcher.ID == s.members.Self().ID {
			continue
		}
		asked++
		if s.pullFromWatcher(ctx, watcher.Address) && s.confirmedWithin(span) {
			return
		}
	}
}

// drawUnrankedCheckAfter returns how long the configuration in force may be unconfirmed before a starting node without a
// rank checks the store. It is random between the delays of the first two standbys, so that nodes that start together
// don't check together.
func drawUnrankedCheckAfter(cfg Config) time.Duration {
	return cfg.CheckStoreAfter + time.Duration(rand.Float64()*float64(cfg.BackupDelay))
}

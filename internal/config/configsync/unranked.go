package configsync

import (
	"context"
	"math/rand/v2"
	"time"
)

// reservesPerZone is the number of members after the watchers that check the store if the watchers fail.
const reservesPerZone = 3

// reserveMargin is how many ranks later than a standby in its place a reserve checks the store, so that it rarely does
// while a standby checks it.
const reserveMargin = 2

// unrankedCheck says when a node that is not a watcher checks the store itself.
type unrankedCheck struct {
	// after is how long the configuration in force may be unconfirmed before the check.
	after time.Duration
	// isPushed is true if the node pushes what it finds to its zone.
	isPushed bool
}

// waitUnranked runs one step of a node that is not a watcher: a pause before its rank is determined again, and a check of
// the store if the node must check it and neither a peer nor an earlier check confirmed the configuration in force. A check
// that failed is repeated after the same time, since the watchers of the zone retry sooner.
func (s *Syncer) waitUnranked(ctx context.Context) error {
	if !pause(ctx, s.cfg.RetryPause) || s.rank() != notAWatcher {
		return nil // in the second case the node has joined as a watcher meanwhile
	}
	check, mustCheck := s.unrankedCheck()
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
// of a zone that restarts find the same.
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
		return unrankedCheck{after: s.unrankedCheckAfter}, true
	case order.isMember && order.aliveAhead < s.cfg.WatchersPerZone+reservesPerZone:
		place := max(s.cfg.WatchersPerZone, order.aliveAhead)
		return unrankedCheck{after: s.checkAfter(place + reserveMargin), isPushed: true}, true
	}
	return unrankedCheck{}, false
}

// drawUnrankedCheckAfter returns how long the configuration in force may be unconfirmed before a starting node without a
// rank checks the store. It is random between the delays of the first two standbys, so that nodes that start together
// don't check together.
func drawUnrankedCheckAfter(cfg Config) time.Duration {
	return cfg.CheckStoreAfter + time.Duration(rand.Float64()*float64(cfg.BackupDelay))
}

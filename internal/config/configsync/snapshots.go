package configsync

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

const (
	// serveInterval and maxServed limit the rate at which a node serves the state. A state of 0.5 MB takes a third of
	// a 1 Gbit/s link, and the number of nodes that have the state grows ninefold per interval.
	serveInterval = 100 * time.Millisecond
	maxServed     = 8
	// maxRecipients is how many recipients are stored, maxReferrals to how many of them a node is referred.
	maxRecipients = 32
	maxReferrals  = 3
	// maxChangesSince is how many changes may follow the packed state before the state is packed again.
	maxChangesSince = 64
)

// snapshotServer serves the whole state to nodes that have none, for example when the whole fleet starts. The state is
// packed once and served together with the changes since. A node that has reached its rate limit refers others to nodes
// that it served before, so that the state spreads like a push. The zero value is ready to use. It is safe for
// concurrent use.
type snapshotServer struct {
	mu sync.Mutex
	// packed is the packed state at revision, empty while there is none.
	revision int64
	packed   peer.PackedSnapshot
	// recipients are the most recent recipients' addresses, the oldest first.
	recipients []string
	// since is when the current interval began, served how many nodes got the state in it.
	since  time.Time
	served int
}

// serve returns the state of a catalog for a recipient's address, or the addresses of other nodes that have the state.
func (s *snapshotServer) serve(source *catalog.Catalog, recipient string) (peer.State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.since) >= serveInterval {
		s.since, s.served = now, 0
	}
	if s.served >= maxServed {
		return peer.State{Alternatives: s.randomRecipients(recipient)}, nil
	}
	changes, err := s.refresh(source)
	if err != nil {
		return peer.State{}, err
	}
	s.served++
	s.recipients = append(s.recipients, recipient)
	s.recipients = s.recipients[max(0, len(s.recipients)-maxRecipients):]
	return peer.State{Snapshot: s.packed, Changes: changes}, nil
}

// cache stores a state that another node packed, so that it is served without being packed again.
func (s *snapshotServer) cache(revision int64, packed peer.PackedSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.packed = revision, packed
}

// refresh returns the changes since the packed state. If there are too many or they are no longer kept, it packs the
// current state. s.mu must be held.
func (s *snapshotServer) refresh(source *catalog.Catalog) ([]catalog.Change, error) {
	if len(s.packed) > 0 {
		if changes, found := source.Since(s.revision); found && len(changes) <= maxChangesSince {
			return changes, nil
		}
	}
	snapshot := source.Snapshot()
	packed, err := peer.PackSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	s.revision, s.packed = snapshot.Revision, packed
	return nil, nil
}

// randomRecipients returns a few random nodes that have the state, other than the requesting one. s.mu must be held.
func (s *snapshotServer) randomRecipients(requester string) []string {
	var chosen []string
	for _, i := range rand.Perm(len(s.recipients)) {
		if s.recipients[i] != requester && len(chosen) < maxReferrals {
			chosen = append(chosen, s.recipients[i])
		}
	}
	return chosen
}

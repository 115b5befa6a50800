package configsync

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

const (
	// serveInterval and mostServed bound the rate at which a node serves the state: with 0.5 MB for a large fleet,
	// it uses a third of a link of 1 Gbit/s, and the number of nodes that have the state grows ninefold an interval.
	serveInterval = 100 * time.Millisecond
	mostServed    = 8
	// mostRecipients is how many recipients are remembered, mostNamed how many are named to a node.
	mostRecipients = 32
	mostNamed      = 3
	// mostSince is how many changes may follow the packed state before it is packed again.
	mostSince = 64
)

// snapshotServer serves the whole state to nodes that have none, as when the whole fleet starts. The state is
// packed once and served with the changes since. A node that has served its share refers others to nodes that it
// served before, so that the state spreads like a push. The zero value is ready; it is safe for concurrent use.
type snapshotServer struct {
	mu sync.Mutex
	// revision and packed are the packed state; packed is empty while there is none.
	revision int64
	packed   peer.PackedSnapshot
	// recipients are the addresses served last, the oldest first.
	recipients []string
	// since is when the present interval began, and served how many nodes got the state in it.
	since  time.Time
	served int
}

// serve returns the state of a catalog for the node of an address, or the addresses of other nodes to ask.
func (s *snapshotServer) serve(known *catalog.Catalog, recipient string) (peer.State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.since) >= serveInterval {
		s.since, s.served = now, 0
	}
	if s.served >= mostServed {
		return peer.State{Elsewhere: s.someRecipients(recipient)}, nil
	}
	changes, err := s.refresh(known)
	if err != nil {
		return peer.State{}, err
	}
	s.served++
	s.recipients = append(s.recipients, recipient)
	s.recipients = s.recipients[max(0, len(s.recipients)-mostRecipients):]
	return peer.State{Snapshot: s.packed, Changes: changes}, nil
}

// cache keeps a state that another node packed, to serve it as it is.
func (s *snapshotServer) cache(revision int64, packed peer.PackedSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.packed = revision, packed
}

// refresh returns the changes since the packed state. It packs the present state if they are too many or no
// longer known. The lock must be held.
func (s *snapshotServer) refresh(known *catalog.Catalog) ([]catalog.Change, error) {
	if len(s.packed) > 0 {
		if changes, found := known.Since(s.revision); found && len(changes) <= mostSince {
			return changes, nil
		}
	}
	snapshot := known.Snapshot()
	packed, err := peer.PackSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	s.revision, s.packed = snapshot.Revision, packed
	return nil, nil
}

// someRecipients returns some random nodes that have the state, other than the asking one. The lock must be
// held.
func (s *snapshotServer) someRecipients(asking string) []string {
	var some []string
	for _, i := range rand.Perm(len(s.recipients)) {
		if s.recipients[i] != asking && len(some) < mostNamed {
			some = append(some, s.recipients[i])
		}
	}
	return some
}

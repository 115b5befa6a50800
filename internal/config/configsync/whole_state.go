package configsync

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// wholeStates gives the whole state to nodes that have none, as after a start of the whole fleet. The
// state is packed once and given with the changes since; a node that gave it to many a moment ago
// names some of those, so that the state spreads like a push. The zero value is ready; it is safe for
// concurrent use.
type wholeStates struct {
	mu sync.Mutex
	// revision and packed are the state that is given; packed is empty while there is none.
	revision int64
	packed   peer.PackedSnapshot
	// takers are the addresses that were given it last, the oldest first.
	takers []string
	// since is when the present interval began, and given how many took the state in it.
	since time.Time
	given int
}

const (
	// giveInterval and mostGiven bound what a node gives away. At 3,300 nodes and 17,000 leafs the
	// packed state is about 0.5 MB, so that 8 of them in 100 ms take a third of a link of 1 Gbit/s;
	// the number of nodes that have it grows ninefold in each interval.
	giveInterval = 100 * time.Millisecond
	mostGiven    = 8
	// mostTakers is how many takers are remembered, mostNamed how many are named to a node.
	mostTakers = 32
	mostNamed  = 3
	// mostSince is how many changes may follow the packed state before it is packed anew.
	mostSince = 64
)

// give gives the state of a catalog to the node of an address.
func (w *wholeStates) give(known *catalog.Catalog, taker string) (peer.State, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.since) >= giveInterval {
		w.since, w.given = now, 0
	}
	if w.given >= mostGiven {
		return peer.State{Elsewhere: w.someTakers(taker)}, nil
	}
	changes, err := w.refresh(known)
	if err != nil {
		return peer.State{}, err
	}
	w.given++
	w.takers = append(w.takers, taker)
	w.takers = w.takers[max(0, len(w.takers)-mostTakers):]
	return peer.State{Snapshot: w.packed, Changes: changes}, nil
}

// keep keeps a state that another node packed, to be given away as it is.
func (w *wholeStates) keep(revision int64, packed peer.PackedSnapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision, w.packed = revision, packed
}

// refresh gives the changes since the packed state, and packs the present one where they are too many
// or no longer known. The lock must be held.
func (w *wholeStates) refresh(known *catalog.Catalog) ([]catalog.Change, error) {
	if len(w.packed) > 0 {
		if changes, kept := known.Since(w.revision); kept && len(changes) <= mostSince {
			return changes, nil
		}
	}
	snapshot := known.Snapshot()
	packed, err := peer.PackSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	w.revision, w.packed = snapshot.Revision, packed
	return nil, nil
}

// someTakers gives some random nodes that were given the state, the asking one left out. The lock must
// be held.
func (w *wholeStates) someTakers(asking string) []string {
	var some []string
	for _, i := range rand.Perm(len(w.takers)) {
		if w.takers[i] != asking && len(some) < mostNamed {
			some = append(some, w.takers[i])
		}
	}
	return some
}

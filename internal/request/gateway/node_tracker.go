package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// nodeTracker chooses the nodes that are asked to gather groups, by how busy they are and how they did before; it is
// safe for concurrent use.
type nodeTracker struct {
	now func() time.Time

	mu    sync.Mutex
	nodes map[string]*nodeState // by address
}

// nodeState is what is known of a node.
type nodeState struct {
	inFlight int // groups
	failures int // in a row
	// pausedUntil is until when the node is not asked.
	pausedUntil time.Time
}

func newNodeTracker() *nodeTracker {
	return &nodeTracker{now: time.Now, nodes: map[string]*nodeState{}}
}

const (
	// declinedPause is how long a node is not asked after it declined: long enough for a busy node to catch up, or for
	// one with another routing table to receive the new one.
	declinedPause = 300 * time.Millisecond
	// leavingPause is how long a node is not asked after it said that it leaves.
	leavingPause = 3 * time.Second
	// failedPause is how long a node is not asked after it failed; it doubles with each failure in a row, up to
	// longestPause.
	failedPause      = time.Second
	longestPause     = 8 * time.Second
	maximumDoublings = 3
	// maximumNodeStates bounds the nodes that are kept; beyond it all are forgotten.
	maximumNodeStates = 4096
)

// choose returns the less busy of two random nodes among those that fit and are not paused; false if there is none.
func (t *nodeTracker) choose(nodes []catalog.NodeRecord, fits func(catalog.NodeRecord) bool) (catalog.NodeRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	usable := make([]catalog.NodeRecord, 0, len(nodes))
	for _, node := range nodes {
		if known := t.nodes[node.Tree]; fits(node) && (known == nil || !now.Before(known.pausedUntil)) {
			usable = append(usable, node)
		}
	}
	if len(usable) == 0 {
		return catalog.NodeRecord{}, false
	}
	chosen := usable[rand.IntN(len(usable))]
	other := usable[rand.IntN(len(usable))]
	if t.node(other.Tree).inFlight < t.node(chosen.Tree).inFlight {
		chosen = other
	}
	return chosen, true
}

// begin counts a group as in flight at a node.
func (t *nodeTracker) begin(node catalog.NodeRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.node(node.Tree).inFlight++
}

// end ends the count of begin, and pauses the node by the outcome of the group.
func (t *nodeTracker) end(node catalog.NodeRecord, outcome GroupOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.node(node.Tree)
	known.inFlight = max(0, known.inFlight-1)
	now := t.now()
	switch outcome {
	case GroupAnswered, GroupFailed:
		known.failures = 0
	case GroupDeclined:
		known.pausedUntil = now.Add(declinedPause)
	case GroupLeaving:
		known.pausedUntil = now.Add(leavingPause)
	case GroupNeverSent, GroupSilent, GroupBroken:
		if now.Before(known.pausedUntil) {
			return // the group was in flight when the node failed, which counts once
		}
		known.pausedUntil = now.Add(min(longestPause, failedPause<<min(known.failures, maximumDoublings)))
		known.failures++
	case GroupCancelled:
	}
}

// node returns the state of the node at an address. The mutex must be held.
func (t *nodeTracker) node(address string) *nodeState {
	known, found := t.nodes[address]
	if !found {
		if len(t.nodes) >= maximumNodeStates {
			clear(t.nodes)
		}
		known = &nodeState{}
		t.nodes[address] = known
	}
	return known
}

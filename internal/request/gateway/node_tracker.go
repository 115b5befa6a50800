package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// nodeTracker chooses the nodes that gather groups, by their load and the outcomes of earlier groups. It is safe for
// concurrent use.
type nodeTracker struct {
	now func() time.Time

	mu    sync.Mutex
	nodes map[string]*nodeState // by address
}

// nodeState is the state of one node.
type nodeState struct {
	inFlight int // groups
	failures int // consecutive
	// pausedUntil is when the node may receive groups again.
	pausedUntil time.Time
}

func newNodeTracker() *nodeTracker {
	return &nodeTracker{now: time.Now, nodes: map[string]*nodeState{}}
}

const (
	// declinedPause is how long a node receives no groups after it declined one: long enough for a busy node to catch
	// up, or for a node with another routing table to receive the new one.
	declinedPause = 300 * time.Millisecond
	// stoppingPause is how long a node receives no groups after it declined one because it is stopping.
	stoppingPause = 3 * time.Second
	// failedPause is how long a node receives no groups after a failure. It doubles with each consecutive failure, up
	// to longestPause.
	failedPause      = time.Second
	longestPause     = 8 * time.Second
	maximumDoublings = 3
	// maximumNodeStates bounds the nodes that are stored. When it is reached, all are dropped.
	maximumNodeStates = 4096
)

// choose returns the less loaded of two random nodes among those that fit and are not paused; false if there is none.
func (t *nodeTracker) choose(nodes []catalog.NodeRecord, fits func(catalog.NodeRecord) bool) (catalog.NodeRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	usable := make([]catalog.NodeRecord, 0, len(nodes))
	for _, node := range nodes {
		if state := t.nodes[node.Tree]; fits(node) && (state == nil || !now.Before(state.pausedUntil)) {
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

// end reverses begin, and pauses the node depending on the outcome of the group.
func (t *nodeTracker) end(node catalog.NodeRecord, outcome GroupOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.node(node.Tree)
	state.inFlight = max(0, state.inFlight-1)
	now := t.now()
	switch outcome {
	case GroupAnswered, GroupFailed:
		state.failures = 0
	case GroupDeclined:
		state.pausedUntil = now.Add(declinedPause)
	case GroupStopping:
		state.pausedUntil = now.Add(stoppingPause)
	case GroupNeverSent, GroupSilent, GroupBroken:
		if now.Before(state.pausedUntil) {
			return // another group in flight at the time of the failure; the failure counts once
		}
		state.pausedUntil = now.Add(min(longestPause, failedPause<<min(state.failures, maximumDoublings)))
		state.failures++
	case GroupCancelled:
	}
}

// node returns the state of the node at an address. t.mu must be held.
func (t *nodeTracker) node(address string) *nodeState {
	state, found := t.nodes[address]
	if !found {
		if len(t.nodes) >= maximumNodeStates {
			clear(t.nodes)
		}
		state = &nodeState{}
		t.nodes[address] = state
	}
	return state
}

package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// standing knows which nodes can be asked to gather; safe for concurrent use.
type nodeTracker struct {
	now func() time.Time

	mu    sync.Mutex
	nodes map[string]*nodeState // by address
}

// nodeState is how a node did.
type nodeState struct {
	inFlight int
	failures int // in a row
	// pausedUntil is until when the node is not asked.
	pausedUntil time.Time
}

func newNodeTracker() *nodeTracker {
	return &nodeTracker{now: time.Now, nodes: map[string]*nodeState{}}
}

// How long a node is not asked: after it declined, after it said that it leaves, and after it failed,
// doubling.
const (
	declinedPause     = 300 * time.Millisecond
	leavingPause      = 3 * time.Second
	failedPause       = time.Second
	longestPause      = 8 * time.Second
	maximumNodeStates = 4096
)

// choose gives the less busy of two random nodes among those that fit and can be asked; false when there
// is none.
func (s *nodeTracker) choose(nodes []catalog.NodeRecord, fits func(catalog.NodeRecord) bool) (catalog.NodeRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	usable := make([]catalog.NodeRecord, 0, len(nodes))
	for _, node := range nodes {
		if known := s.nodes[node.Tree]; fits(node) && (known == nil || !now.Before(known.pausedUntil)) {
			usable = append(usable, node)
		}
	}
	if len(usable) == 0 {
		return catalog.NodeRecord{}, false
	}
	chosen := usable[rand.IntN(len(usable))]
	other := usable[rand.IntN(len(usable))]
	if s.node(other.Tree).inFlight < s.node(chosen.Tree).inFlight {
		chosen = other
	}
	return chosen, true
}

// begin counts a group in that a node is asked for.
func (s *nodeTracker) begin(node catalog.NodeRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node(node.Tree).inFlight++
}

// learn takes how a group went that was counted in, and counts it out.
func (s *nodeTracker) end(node catalog.NodeRecord, outcome GroupOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.node(node.Tree)
	known.inFlight = max(0, known.inFlight-1)
	now := s.now()
	switch outcome {
	case GroupAnswered, GroupFailed:
		known.failures = 0
	case GroupDeclined:
		known.pausedUntil = now.Add(declinedPause)
	case GroupLeaving:
		known.pausedUntil = now.Add(leavingPause)
	case GroupNeverSent, GroupSilent, GroupBroken:
		if now.Before(known.pausedUntil) {
			return // groups that were under way when the node failed
		}
		known.pausedUntil = now.Add(min(longestPause, failedPause<<min(known.failures, 3)))
		known.failures++
	case GroupCancelled:
	}
}

// node gives what is known of an address. The mutex must be held.
func (s *nodeTracker) node(address string) *nodeState {
	known, found := s.nodes[address]
	if !found {
		if len(s.nodes) >= maximumNodeStates {
			clear(s.nodes)
		}
		known = &nodeState{}
		s.nodes[address] = known
	}
	return known
}

package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// standing knows which nodes can be asked to gather; safe for concurrent use.
type standing struct {
	now func() time.Time

	mu    sync.Mutex
	nodes map[string]*nodeStanding // by address
}

// nodeStanding is how a node did.
type nodeStanding struct {
	underWay int
	failures int // in a row
	// asideUntil is until when the node is not asked.
	asideUntil time.Time
}

func newStanding() *standing {
	return &standing{now: time.Now, nodes: map[string]*nodeStanding{}}
}

// How long a node is not asked: after it declined, after it said that it leaves, and after it failed,
// doubling.
const (
	declinedPause    = 300 * time.Millisecond
	leavingPause     = 3 * time.Second
	failedPause      = time.Second
	longestPause     = 8 * time.Second
	maximumStandings = 4096
)

// choose gives the less busy of two random nodes among those that fit and can be asked; false when there
// is none.
func (s *standing) choose(nodes []catalog.NodeRecord, fits func(catalog.NodeRecord) bool) (catalog.NodeRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	usable := make([]catalog.NodeRecord, 0, len(nodes))
	for _, node := range nodes {
		if known := s.nodes[node.Tree]; fits(node) && (known == nil || !now.Before(known.asideUntil)) {
			usable = append(usable, node)
		}
	}
	if len(usable) == 0 {
		return catalog.NodeRecord{}, false
	}
	chosen := usable[rand.IntN(len(usable))]
	other := usable[rand.IntN(len(usable))]
	if s.node(other.Tree).underWay < s.node(chosen.Tree).underWay {
		chosen = other
	}
	return chosen, true
}

// begin counts a group in that a node is asked for.
func (s *standing) begin(node catalog.NodeRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node(node.Tree).underWay++
}

// learn takes how a group went that was counted in, and counts it out.
func (s *standing) learn(node catalog.NodeRecord, outcome GroupOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.node(node.Tree)
	known.underWay = max(0, known.underWay-1)
	now := s.now()
	switch outcome {
	case GroupAnswered, GroupFailed:
		known.failures = 0
	case GroupDeclined:
		known.asideUntil = now.Add(declinedPause)
	case GroupLeaving:
		known.asideUntil = now.Add(leavingPause)
	case GroupNeverSent, GroupSilent, GroupBroken:
		if now.Before(known.asideUntil) {
			return // groups that were under way when the node failed
		}
		known.asideUntil = now.Add(min(longestPause, failedPause<<min(known.failures, 3)))
		known.failures++
	case GroupCancelled:
	}
}

// node gives what is known of an address. The mutex must be held.
func (s *standing) node(address string) *nodeStanding {
	known, found := s.nodes[address]
	if !found {
		if len(s.nodes) >= maximumStandings {
			clear(s.nodes)
		}
		known = &nodeStanding{}
		s.nodes[address] = known
	}
	return known
}

package rolloutcontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// Counts are this node's own counts for the specs under way; evidence.Collector is the real one. Returned rows
// belong to the caller.
type Counts interface {
	// TakeChanged returns up to limit rows that changed since they were last taken.
	TakeChanged(limit int) []evidence.Row
	// Rows returns all rows.
	Rows() []evidence.Row
}

// Sender sends datagrams to nodes; peer.Transport is one.
type Sender interface {
	Send(address string, message peer.Message)
}

// maxRowsTaken bounds the rows taken at once, to a few milliseconds of packing.
const maxRowsTaken = 1024

// outbox holds the rows that wait to be sent to one evaluator node, the newest of each key.
type outbox struct {
	address string
	since   time.Time // when the first of them was added
	rows    map[evidence.Key]evidence.Row
}

// reporter sends this node's counts to the evaluator nodes of each service, within a bound of bytes a second. Rows beyond the
// bound wait in an outbox for each evaluator node, where newer counts replace them. It is not safe for concurrent use.
type reporter struct {
	self   catalog.NodeRecord
	start  int64 // Unix nanoseconds; identifies this process
	counts Counts
	sender Sender
	// keep stores the node's own counts where it is an evaluator node itself.
	keep func([]evidence.Row)
	// dropped is called with the number of rows that fit into no datagram.
	dropped func(rows int)
	budget  *rate.Limiter
	resend  time.Duration

	outboxes   map[string]*outbox              // by id of the evaluator node
	reportedTo map[string][]catalog.NodeRecord // the evaluator nodes of the latest report, by service
	resentAt   time.Time
}

func newReporter(deps Deps, keep func([]evidence.Row), dropped func(rows int)) *reporter {
	cfg := deps.Config
	return &reporter{
		self: deps.Self, start: time.Now().UnixNano(), counts: deps.Counts, sender: deps.Sender, keep: keep, dropped: dropped, resend: cfg.ResendInterval,
		budget:   rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), cfg.BurstBytes),
		outboxes: map[string]*outbox{}, reportedTo: map[string][]catalog.NodeRecord{}, resentAt: deps.Clock.Now(),
	}
}

// step moves changed rows into the outboxes and sends as much of them as the budget allows. evaluatorNodes returns the evaluator nodes
// of a service; isUnderWay reports whether a spec still needs counts.
func (s *reporter) step(now time.Time, evaluatorNodes func(service string) []catalog.NodeRecord, isUnderWay func(rolloutID) bool) {
	moved := s.movedServices(evaluatorNodes)
	s.enqueue(now, s.counts.TakeChanged(maxRowsTaken), evaluatorNodes)
	s.dropObsolete(evaluatorNodes, isUnderWay)
	switch {
	case s.isResendDue(now):
		s.resentAt = now
		clear(s.reportedTo)
		s.enqueue(now, s.counts.Rows(), evaluatorNodes)
	case len(moved) > 0:
		isReported := func(row evidence.Row) bool { return !moved[row.Service] }
		s.enqueue(now, slices.DeleteFunc(slices.Clone(s.counts.Rows()), isReported), evaluatorNodes)
	}
	s.sendBoxes(now)
}

// enqueue puts rows into the outboxes of their evaluator nodes.
func (s *reporter) enqueue(now time.Time, rows []evidence.Row, evaluatorNodes func(string) []catalog.NodeRecord) {
	var own []evidence.Row
	for _, row := range rows {
		s.reportedTo[row.Service] = evaluatorNodes(row.Service)
		for _, evaluatorNode := range s.reportedTo[row.Service] {
			if evaluatorNode.ID == s.self.ID {
				own = append(own, row)
				continue
			}
			s.outboxOf(now, evaluatorNode).rows[row.Key] = row
		}
	}
	if len(own) > 0 {
		s.keep(own)
	}
}

func (s *reporter) outboxOf(now time.Time, evaluatorNode catalog.NodeRecord) *outbox {
	known := s.outboxes[evaluatorNode.ID]
	if known == nil {
		known = &outbox{since: now, rows: map[evidence.Key]evidence.Row{}}
		s.outboxes[evaluatorNode.ID] = known
	}
	known.address = evaluatorNode.Address
	return known
}

// dropObsolete drops rows of specs that are over, and rows for nodes that are no evaluator nodes any more.
func (s *reporter) dropObsolete(evaluatorNodes func(string) []catalog.NodeRecord, isUnderWay func(rolloutID) bool) {
	for id, waiting := range s.outboxes {
		maps.DeleteFunc(waiting.rows, func(key evidence.Key, _ evidence.Row) bool {
			return !isUnderWay(rolloutID{key.Service, key.SpecID}) || rankOf(evaluatorNodes(key.Service), id) < 0
		})
		if len(waiting.rows) == 0 {
			delete(s.outboxes, id)
		}
	}
}

// movedServices returns the services whose evaluator nodes have changed since the last report.
func (s *reporter) movedServices(evaluatorNodes func(string) []catalog.NodeRecord) map[string]bool {
	moved := map[string]bool{}
	for service, before := range s.reportedTo {
		if !slices.Equal(before, evaluatorNodes(service)) {
			moved[service] = true
		}
	}
	return moved
}

// isResendDue reports whether all counts are to be sent again. That waits until the outboxes are empty.
func (s *reporter) isResendDue(now time.Time) bool {
	return len(s.outboxes) == 0 && now.Sub(s.resentAt) >= s.resend
}

// sendBoxes sends datagrams, those of the longest waiting outbox first, until the outboxes are empty or the budget is
// used up.
func (s *reporter) sendBoxes(now time.Time) {
	for len(s.outboxes) > 0 {
		id := s.longestWaiting()
		if !s.sendFrom(now, s.outboxes[id]) {
			return
		}
		if len(s.outboxes[id].rows) == 0 {
			delete(s.outboxes, id)
		}
	}
}

func (s *reporter) longestWaiting() string {
	return slices.MinFunc(slices.Collect(maps.Keys(s.outboxes)), func(a, b string) int {
		return cmp.Or(s.outboxes[a].since.Compare(s.outboxes[b].since), cmp.Compare(a, b))
	})
}

// sendFrom sends one datagram of rows from an outbox. It returns false if the budget does not allow it.
func (s *reporter) sendFrom(now time.Time, waiting *outbox) bool {
	var packed packer
	room := packedRoom(s.self.ID)
	var sent []evidence.Key
	for key, row := range waiting.rows {
		if packed.add(row, room) {
			sent = append(sent, key)
			continue
		}
		if len(sent) > 0 {
			break
		}
		sent = append(sent, key)
		s.dropped(1) // its names fit into no datagram
	}
	if size := len(packed.content); size > 0 {
		if !s.budget.AllowN(now, datagramBytes(s.self.ID, size)) {
			return false
		}
		s.sender.Send(waiting.address, peer.Message{RolloutReports: &peer.RolloutReports{Node: s.self.ID, StartUnixNano: s.start, Rows: packed.content}})
	}
	for _, key := range sent {
		delete(waiting.rows, key)
	}
	waiting.since = now
	return true
}

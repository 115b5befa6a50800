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

// Counts are what a node itself counted for the orders under way. The rows that it gives are the caller's own: counting
// on does not change them.
type Counts interface {
	// TakeChanged gives up to a number of rows that changed since they were last taken.
	TakeChanged(most int) []evidence.Row
	// Rows gives all rows.
	Rows() []evidence.Row
}

// Sender sends datagrams to nodes; peer.Transport is one.
type Sender interface {
	Send(address string, message peer.Message)
}

// maxRowsTaken bounds the rows that are taken at once, to a few milliseconds of packing.
const maxRowsTaken = 1024

// outbox holds the rows that wait to be sent to one judge, the newest of each key.
type outbox struct {
	address string
	since   time.Time // since when the first of them waits
	rows    map[evidence.Key]evidence.Row
}

// reporter tells the judges of each service what this node counted, within a bound of bytes. What is beyond the
// bound waits in a box for its judge, where newer counts take its place. It is not safe for concurrent use.
type reporter struct {
	self   catalog.NodeRecord
	start  int64 // in unix nanoseconds; names this process
	counts Counts
	sender Sender
	// keep takes the node's own counts where it is a judge itself.
	keep func([]evidence.Row)
	// dropped is told of rows that no datagram can hold.
	dropped func(rows int)
	budget  *rate.Limiter
	resend  time.Duration

	outboxes   map[string]*outbox              // by id of the judge
	reportedTo map[string][]catalog.NodeRecord // the judges told last, by service
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

// step puts what changed into the boxes and sends as much of them as the budget allows. Judges gives the judges of a
// service, isUnderWay says which orders are worth telling of.
func (s *reporter) step(now time.Time, judges func(service string) []catalog.NodeRecord, isUnderWay func(orderKey) bool) {
	moved := s.movedServices(judges)
	s.enqueue(now, s.counts.TakeChanged(maxRowsTaken), judges)
	s.dropObsolete(judges, isUnderWay)
	switch {
	case s.isResendDue(now):
		s.resentAt = now
		clear(s.reportedTo)
		s.enqueue(now, s.counts.Rows(), judges)
	case len(moved) > 0:
		isReported := func(row evidence.Row) bool { return !moved[row.Service] }
		s.enqueue(now, slices.DeleteFunc(slices.Clone(s.counts.Rows()), isReported), judges)
	}
	s.sendBoxes(now)
}

// enqueue puts rows into the boxes of their judges.
func (s *reporter) enqueue(now time.Time, rows []evidence.Row, judges func(string) []catalog.NodeRecord) {
	var own []evidence.Row
	for _, row := range rows {
		s.reportedTo[row.Service] = judges(row.Service)
		for _, judge := range s.reportedTo[row.Service] {
			if judge.ID == s.self.ID {
				own = append(own, row)
				continue
			}
			s.outboxOf(now, judge).rows[row.Key] = row
		}
	}
	if len(own) > 0 {
		s.keep(own)
	}
}

func (s *reporter) outboxOf(now time.Time, judge catalog.NodeRecord) *outbox {
	known := s.outboxes[judge.ID]
	if known == nil {
		known = &outbox{since: now, rows: map[evidence.Key]evidence.Row{}}
		s.outboxes[judge.ID] = known
	}
	known.address = judge.Address
	return known
}

// dropObsolete drops what waits of orders that are over, and for nodes that are no judges any more.
func (s *reporter) dropObsolete(judges func(string) []catalog.NodeRecord, isUnderWay func(orderKey) bool) {
	for id, waiting := range s.outboxes {
		maps.DeleteFunc(waiting.rows, func(key evidence.Key, _ evidence.Row) bool {
			return !isUnderWay(orderKey{key.Service, key.Order}) || rankOf(judges(key.Service), id) < 0
		})
		if len(waiting.rows) == 0 {
			delete(s.outboxes, id)
		}
	}
}

// movedServices gives the services whose judges are others than when they were last told of.
func (s *reporter) movedServices(judges func(string) []catalog.NodeRecord) map[string]bool {
	moved := map[string]bool{}
	for service, told := range s.reportedTo {
		if !slices.Equal(told, judges(service)) {
			moved[service] = true
		}
	}
	return moved
}

// isResendDue reports whether all counts should be told again. That waits while anything else does.
func (s *reporter) isResendDue(now time.Time) bool {
	return len(s.outboxes) == 0 && now.Sub(s.resentAt) >= s.resend
}

// sendBoxes sends datagrams, those of the box that waits longest first, until the boxes are empty or the budget is
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

// sendFrom sends one datagram of rows from a box; false when the budget does not allow it.
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
		s.dropped(1) // its names are too long for any datagram
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

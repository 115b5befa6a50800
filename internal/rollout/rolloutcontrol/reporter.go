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

// Counts are this node's own counts for the active specs. It is implemented by evidence.Collector. Returned rows belong
// to the caller.
type Counts interface {
	// TakeChanged returns up to limit rows that changed since they were last taken.
	TakeChanged(limit int) []evidence.Row
	// Rows returns all rows.
	Rows() []evidence.Row
}

// Sender sends datagrams to nodes. It is implemented by peer.Transport.
type Sender interface {
	Send(address string, message peer.Message)
}

// maxRowsTaken bounds the rows of one step, and thereby the time to pack them to a few milliseconds.
const maxRowsTaken = 1024

// outbox holds the newest row of each key that waits to be sent to one evaluator node.
type outbox struct {
	address string
	since   time.Time // when the first row was added, or the last datagram sent
	rows    map[evidence.Key]evidence.Row
}

// reporter sends this node's counts to the evaluator nodes of each service, within a limit of bytes per second. Rows
// beyond the limit wait in an outbox per evaluator node, where newer counts replace them. It is not safe for concurrent
// use.
type reporter struct {
	self   catalog.NodeRecord
	start  int64 // Unix nanoseconds; identifies this process
	counts Counts
	sender Sender
	// addOwn adds rows of services that this node evaluates itself.
	addOwn func([]evidence.Row)
	// onDropped is called with the number of rows that do not fit into a datagram.
	onDropped func(rows int)
	budget    *rate.Limiter
	resend    time.Duration

	outboxes   map[string]*outbox              // by ID of the evaluator node
	reportedTo map[string][]catalog.NodeRecord // evaluator nodes of the latest report, by service
	resentAt   time.Time
}

func newReporter(deps Deps, addOwn func([]evidence.Row), onDropped func(rows int)) *reporter {
	cfg := deps.Config
	return &reporter{
		self: deps.Self, start: time.Now().UnixNano(), counts: deps.Counts, sender: deps.Sender, addOwn: addOwn, onDropped: onDropped, resend: cfg.ResendInterval,
		budget:   rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), cfg.BurstBytes),
		outboxes: map[string]*outbox{}, reportedTo: map[string][]catalog.NodeRecord{}, resentAt: deps.Clock.Now(),
	}
}

// step moves changed rows into the outboxes and sends as many of them as the budget allows. evaluatorNodes returns the
// evaluator nodes of a service. isWanted reports whether the counts of a spec are still needed.
func (r *reporter) step(now time.Time, evaluatorNodes func(service string) []catalog.NodeRecord, isWanted func(specKey) bool) {
	reassigned := r.reassignedServices(evaluatorNodes)
	r.enqueue(now, r.counts.TakeChanged(maxRowsTaken), evaluatorNodes)
	r.dropObsolete(evaluatorNodes, isWanted)
	switch {
	case r.isResendDue(now):
		r.resentAt = now
		clear(r.reportedTo)
		r.enqueue(now, r.counts.Rows(), evaluatorNodes)
	case len(reassigned) > 0:
		isReported := func(row evidence.Row) bool { return !reassigned[row.Service] }
		r.enqueue(now, slices.DeleteFunc(slices.Clone(r.counts.Rows()), isReported), evaluatorNodes)
	}
	r.sendOutboxes(now)
}

// enqueue puts rows into the outboxes of their evaluator nodes.
func (r *reporter) enqueue(now time.Time, rows []evidence.Row, evaluatorNodes func(string) []catalog.NodeRecord) {
	var own []evidence.Row
	for _, row := range rows {
		r.reportedTo[row.Service] = evaluatorNodes(row.Service)
		for _, evaluatorNode := range r.reportedTo[row.Service] {
			if evaluatorNode.ID == r.self.ID {
				own = append(own, row)
				continue
			}
			r.outboxOf(now, evaluatorNode).rows[row.Key] = row
		}
	}
	if len(own) > 0 {
		r.addOwn(own)
	}
}

func (r *reporter) outboxOf(now time.Time, evaluatorNode catalog.NodeRecord) *outbox {
	known := r.outboxes[evaluatorNode.ID]
	if known == nil {
		known = &outbox{since: now, rows: map[evidence.Key]evidence.Row{}}
		r.outboxes[evaluatorNode.ID] = known
	}
	known.address = evaluatorNode.Address
	return known
}

// dropObsolete drops rows of specs that have ended, and rows for nodes that are no longer evaluator nodes.
func (r *reporter) dropObsolete(evaluatorNodes func(string) []catalog.NodeRecord, isWanted func(specKey) bool) {
	for id, waiting := range r.outboxes {
		maps.DeleteFunc(waiting.rows, func(key evidence.Key, _ evidence.Row) bool {
			return !isWanted(specKey{key.Service, key.SpecID}) || rankOf(evaluatorNodes(key.Service), id) < 0
		})
		if len(waiting.rows) == 0 {
			delete(r.outboxes, id)
		}
	}
}

// reassignedServices returns the services whose evaluator nodes have changed since the last report.
func (r *reporter) reassignedServices(evaluatorNodes func(string) []catalog.NodeRecord) map[string]bool {
	reassigned := map[string]bool{}
	for service, before := range r.reportedTo {
		if !slices.Equal(before, evaluatorNodes(service)) {
			reassigned[service] = true
		}
	}
	return reassigned
}

// isResendDue reports whether all counts must be sent again. A resend waits until the outboxes are empty.
func (r *reporter) isResendDue(now time.Time) bool {
	return len(r.outboxes) == 0 && now.Sub(r.resentAt) >= r.resend
}

// sendOutboxes sends datagrams until the outboxes are empty or the budget is exhausted. The outbox that has waited
// longest is first.
func (r *reporter) sendOutboxes(now time.Time) {
	for len(r.outboxes) > 0 {
		id := r.longestWaiting()
		if !r.sendDatagram(now, r.outboxes[id]) {
			return
		}
		if len(r.outboxes[id].rows) == 0 {
			delete(r.outboxes, id)
		}
	}
}

func (r *reporter) longestWaiting() string {
	return slices.MinFunc(slices.Collect(maps.Keys(r.outboxes)), func(a, b string) int {
		return cmp.Or(r.outboxes[a].since.Compare(r.outboxes[b].since), cmp.Compare(a, b))
	})
}

// sendDatagram sends one datagram with rows from an outbox. It returns false if the budget is exhausted.
func (r *reporter) sendDatagram(now time.Time, waiting *outbox) bool {
	var packed packer
	room := packedRoom(r.self.ID)
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
		r.onDropped(1) // the row alone exceeds a datagram
	}
	if size := len(packed.content); size > 0 {
		if !r.budget.AllowN(now, datagramBytes(r.self.ID, size)) {
			return false
		}
		r.sender.Send(waiting.address, peer.Message{RolloutReports: &peer.RolloutReports{Node: r.self.ID, StartUnixNano: r.start, Rows: packed.content}})
	}
	for _, key := range sent {
		delete(waiting.rows, key)
	}
	waiting.since = now
	return true
}

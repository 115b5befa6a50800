package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/rollout"
)

// EventLog is told of what a node learns and does of roll-outs. Its methods are called from several goroutines and
// must not block.
type EventLog interface {
	// OrderSeen is told of an order that this node learned of.
	OrderSeen(OrderEvent)
	// PhaseLearned is told of a state that came into force.
	PhaseLearned(rollout.State)
	// PhaseWritten is told of a write of this node, be it done or not.
	PhaseWritten(PhaseWriteEvent)
	// Held is told of a hold that this node sent or heard.
	Held(HoldEvent)
	// RowsDropped is told of rows of counts that were not kept or not sent.
	RowsDropped(RowsDroppedEvent)
	// VersionsWritten is told that the versions of services were written down.
	VersionsWritten(VersionsWriteEvent)
}

// OrderEvent is an order as a node learned of it.
type OrderEvent struct {
	Order rollout.Order
	// Rank is the node's place among its judges; -1 when it is none.
	Rank int
}

// PhaseWriteEvent is a write of a state and the counts that decided it.
type PhaseWriteEvent struct {
	State rollout.State
	// Revision is that of the write; 0 when it failed.
	Revision int64
	Err      error
	Counts   []VersionCounts
	// Age is how old the newest of the counts is; 0 when there are none.
	Age time.Duration
}

// HoldEvent is a hold of an order.
type HoldEvent struct {
	Service string
	Order   int64
	Reason  string
	// Nodes is how many nodes it was sent to.
	Nodes int
	// From is the peer address that it came from; empty when this node sent it.
	From string
}

// RowsDroppedEvent counts rows that were dropped.
type RowsDroppedEvent struct {
	// From is the peer address that they came from; empty when they are this node's own.
	From string
	Rows int
	// Err says what was wrong with a whole report; nil when there was no room.
	Err error
}

// VersionsWriteEvent is a write of the versions of services.
type VersionsWriteEvent struct {
	Services int
	Err      error
}

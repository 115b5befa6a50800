package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/rollout"
)

// EventLog records what a node learns and does about roll-outs. Its methods are called from several goroutines and
// must not block.
type EventLog interface {
	// SpecSeen records a spec that this node learned of.
	SpecSeen(SpecEvent)
	// PhaseLearned records a state that came into force.
	PhaseLearned(rollout.State)
	// PhaseWritten records a write by this node, successful or not.
	PhaseWritten(PhaseWriteEvent)
	// Aborted records an abort that this node sent or received.
	Aborted(AbortEvent)
	// RowsDropped records rows of counts that were not kept or not sent.
	RowsDropped(RowsDroppedEvent)
	// VersionsWritten records a write of the serving versions, successful or not.
	VersionsWritten(VersionsWriteEvent)
}

// SpecEvent is a spec as a node learned of it.
type SpecEvent struct {
	Spec rollout.Spec
	// Rank is the node's rank among the evaluator nodes of the service, -1 if it is not one of them.
	Rank int
}

// PhaseWriteEvent is a write of a state, with the counts that led to it.
type PhaseWriteEvent struct {
	State rollout.State
	// Revision is the store's revision of the write, 0 if it failed.
	Revision int64
	Err      error
	Counts   []VersionCounts
	// Age is the age of the newest of the counts, 0 if there are none.
	Age time.Duration
}

// AbortEvent is an abort of a spec.
type AbortEvent struct {
	Service string
	SpecID  int64
	Reason  string
	// Nodes is the number of nodes that it was sent to.
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

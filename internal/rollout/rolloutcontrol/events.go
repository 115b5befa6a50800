package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/rollout"
)

// EventLog records the rollout events of a node. Its methods are called from several goroutines and must not block.
type EventLog interface {
	// SpecSeen records a spec that this node learned of.
	SpecSeen(SpecEvent)
	// PhaseLearned records a state that came into force at this node.
	PhaseLearned(rollout.State)
	// PhaseWritten records a write by this node, successful or not.
	PhaseWritten(PhaseWriteEvent)
	// Aborted records an abort that this node sent or received.
	Aborted(AbortEvent)
	// RowsDropped records rows of counts that were neither stored nor sent.
	RowsDropped(RowsDroppedEvent)
	// VersionsWritten records a write of the serving versions, successful or not.
	VersionsWritten(VersionsWriteEvent)
}

// SpecEvent records that a node learned of a spec.
type SpecEvent struct {
	Spec rollout.Spec
	// Rank is the node's rank among the evaluator nodes of the service, -1 if it is not an evaluator node.
	Rank int
}

// PhaseWriteEvent is a write of a state, with the counts that it is based on.
type PhaseWriteEvent struct {
	State rollout.State
	// Revision is the store revision of the write, 0 if it failed.
	Revision int64
	Err      error
	Counts   []VersionCounts
	// Age is the age of the newest counts, 0 if there are none.
	Age time.Duration
}

// AbortEvent is an abort of a spec.
type AbortEvent struct {
	Service string
	SpecID  int64
	Reason  string
	// Nodes is the number of nodes that the abort was sent to.
	Nodes int
	// From is the peer address of the sender, empty if this node sent the abort.
	From string
}

// RowsDroppedEvent is a number of dropped rows.
type RowsDroppedEvent struct {
	// From is the peer address of the sender, empty for this node's own rows.
	From string
	Rows int
	// Err is the error of a malformed report, nil if there was no room for the rows.
	Err error
}

// VersionsWriteEvent is a write of the serving versions.
type VersionsWriteEvent struct {
	Services int
	Err      error
}

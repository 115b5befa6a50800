package scatter

import (
	"context"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// shardState is the progress of one shard.
type shardState[Reply any] struct {
	index int // into the plan's shards

	tried    []string // ids of the leafs that were asked
	inFlight []inFlightAttempt
	cancels  []context.CancelCauseFunc // of all attempts
	attempts int
	refusals int // attempts that did not run or most likely never arrived
	// neverArrived says that the last attempt most likely did not reach its leaf.
	neverArrived bool
	// isCounted says that Policy.FirstAttempt was called.
	isCounted bool

	hedgeStage int
	hedgeAt    time.Time // zero if no hedge is scheduled
	retryAt    time.Time // zero if the shard does not wait for a replica or a probe
	// isDelayed says that the shard waits for a probe to end.
	isDelayed bool

	// isGrouped says that the shard is asked in a group.
	isGrouped bool
	// isRepeat says that the shard may have been asked before, here in a group or at another node.
	isRepeat bool

	done   bool
	reply  *Reply
	leaf   *balancer.Leaf // that sent the reply
	reason Reason         // why there is no reply
}

// inFlightAttempt is an attempt whose end is not known.
type inFlightAttempt struct {
	leafID  string
	started time.Time
}

// setSpent counts attempts that may have been made elsewhere, and leaves at least one of the maximum.
func (s *shardState[Reply]) setSpent(spent, maximum int) {
	s.attempts = min(spent, maximum-1)
	s.isRepeat = spent > 0
}

// addAttempt counts an attempt that starts now.
func (s *shardState[Reply]) addAttempt(leafID string, now time.Time) {
	if !slices.Contains(s.tried, leafID) {
		s.tried = append(s.tried, leafID)
	}
	s.inFlight = append(s.inFlight, inFlightAttempt{leafID, now})
	s.attempts++
	s.retryAt, s.isDelayed = time.Time{}, false
}

// removeInFlight removes the attempt at a leaf from those in flight.
func (s *shardState[Reply]) removeInFlight(leafID string) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(attempt inFlightAttempt) bool { return attempt.leafID == leafID })
}

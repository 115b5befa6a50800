package scatter

import (
	"context"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// shardState is the state of one shard.
type shardState[Reply any] struct {
	index int // into the plan's shards

	tried    []string // IDs of the leafs that an attempt was sent to
	inFlight []inFlightAttempt
	cancels  []context.CancelCauseFunc // of all attempts
	attempts int
	refusals int // attempts that did not run or most likely never arrived
	// neverArrived is true if the last failed attempt most likely did not reach its leaf.
	neverArrived bool
	// isCounted is true if Policy.FirstAttempt was called.
	isCounted bool

	hedgeStage int
	hedgeAt    time.Time // zero if no hedge is scheduled
	retryAt    time.Time // zero if the shard does not wait for a replica or a probe
	// isDelayed is true while the shard waits for a probe to end.
	isDelayed bool

	// isGrouped is true while the shard waits for the result of its group.
	isGrouped bool
	// isRepeat is true if the shard may have been queried before, in a group or by another node.
	isRepeat bool

	done   bool
	reply  *Reply
	leaf   *balancer.Leaf // the leaf that sent the reply
	reason Reason         // why there is no reply
}

// inFlightAttempt is an attempt that has not ended.
type inFlightAttempt struct {
	leafID  string
	started time.Time
}

// setSpent counts attempts that another node may have made, and leaves at least one attempt of the maximum.
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

// removeInFlight removes the attempt on a leaf from the attempts in flight.
func (s *shardState[Reply]) removeInFlight(leafID string) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(attempt inFlightAttempt) bool { return attempt.leafID == leafID })
}

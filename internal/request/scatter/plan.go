package scatter

import (
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// Plan describes how a Scatter handles one request.
type Plan struct {
	Shards []Shard
	// Groups are disjoint sets of shards, each of which is first queried as a whole; see Group.
	Groups []Group
	// Refresh returns the current replicas of the shard with the given index. It is called before each attempt except
	// the first ones that Run starts, since replicas may have left, started to drain, or been added. If Refresh is nil,
	// the plan's candidates are used.
	Refresh func(shard int) []balancer.Candidate
	// Deadline is when every open shard is settled without a reply.
	Deadline time.Time
	// SoftDeadline is the time from which Sufficient replies end the scatter; zero means never.
	SoftDeadline time.Time
	// Sufficient is the minimum number of replies that make an answer. The scatter ends as soon as it can no longer be
	// reached. 0 means no minimum.
	Sufficient int
	// AtMostOnce forbids hedges, and retries without proof that the attempt did not run.
	AtMostOnce bool
	// NoHedges forbids hedges.
	NoHedges bool
	// Cautious is set if leafs recently crashed while running the same request: attempts are sent one at a time until a
	// leaf has answered, see isCautious.
	Cautious bool
	// HeadStart is how long the first attempt is in flight alone unless a leaf answers earlier. Groups wait, too. 0 means
	// that all attempts start together.
	HeadStart time.Duration
	// CrashedProbesLimit is the number of probes with crashed leafs after which the scatter stops; 0 means never.
	CrashedProbesLimit int
	// NoProbes makes the scatter stop instead of sending probes. It is set on a node that queries a group for another
	// node, which has more shards and sends the probes itself.
	NoProbes bool
	// MaximumAttempts is the maximum number of a shard's attempts that may have run.
	MaximumAttempts int
	// MaximumRefusals is how many attempts per shard that did not run, or most likely never arrived, are not counted
	// toward MaximumAttempts.
	MaximumRefusals int
	// ReplicaWait is the pause before a shard without a usable replica, or without a token in its budget, is tried again;
	// 0 means that the shard is settled without a reply, see waitOrSettle.
	ReplicaWait time.Duration
}

// Shard is one part of the plan.
type Shard struct {
	Candidates []balancer.Candidate
	Policy     Policy
	// Spent is the number of attempts that another node may have made without a reply. They count toward
	// Plan.MaximumAttempts, and the attempts of this scatter are then retries. Spent must be less than MaximumAttempts.
	Spent int
}

// Policy decides about the hedges and retries of a shard. One policy may serve many shards.
type Policy interface {
	// FirstAttempt records the first attempt of a request for the shard.
	FirstAttempt()
	// HedgeDelay returns the delay from the newest attempt until the hedge of the given stage, counted from 0, and
	// whether there is such a stage.
	HedgeDelay(stage int) (time.Duration, bool)
	// TypicalLatency returns the typical latency of an attempt on any leaf; 0 if unknown.
	TypicalLatency() time.Duration
	// WorthHedging reports whether to hedge to a replica that is expected to take expectedSlowdown times the typical
	// latency; 0 means unknown.
	WorthHedging(expectedSlowdown float64) bool
	// AllowHedge takes a token for a hedge from the budget and reports whether there was one.
	AllowHedge() bool
	// AllowRetry takes a token for a retry from the budget and reports whether there was one.
	AllowRetry() bool
	// Observe records the latency of an attempt. For a cancelled attempt it is a lower bound.
	Observe(took time.Duration)
	// ObserveShed records that a leaf shed an attempt.
	ObserveShed()
}

package scatter

import (
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// Plan is what a Scatter is to do for one request.
type Plan struct {
	Shards []Shard
	// Groups are disjoint sets of the shards, each asked as one first; see Group.
	Groups []Group
	// Refresh returns the current replicas of a shard, by its index; nil keeps those of the plan. It is
	// called before each attempt other than those that Run starts first: meanwhile replicas may have gone, started to
	// drain, or been added.
	Refresh func(shard int) []balancer.Candidate
	// Deadline is when every open shard is given up.
	Deadline time.Time
	// SoftDeadline is the time from which Sufficient replies are enough; zero means never.
	SoftDeadline time.Time
	// Sufficient is the minimum number of useful replies: the scatter ends as soon as that many can't come any more.
	// 0 means that any number is useful.
	Sufficient int
	// AtMostOnce forbids hedges, and retries without proof that the attempt did not run.
	AtMostOnce bool
	// NoHedges forbids hedges.
	NoHedges bool
	// Cautious says that leafs crashed lately while they ran the same request: attempts are sent one at a time until
	// a leaf has answered, see isCautious.
	Cautious bool
	// HeadStart is how long the first attempt is in flight alone, unless a leaf answers before; 0 means that all start
	// together. Groups wait, too.
	HeadStart time.Duration
	// CrashedProbesLimit is the number of probes that crashed their leafs at which the scatter is given up; 0 means
	// never.
	CrashedProbesLimit int
	// NoProbes makes the scatter give up instead of sending probes, because the node that asked for it knows of more
	// shards and sends the probes itself.
	NoProbes bool
	// MaximumAttempts bounds the attempts of a shard that may have run.
	MaximumAttempts int
	// MaximumRefusals is the maximum number of a shard's attempts that did not run and therefore don't count toward
	// MaximumAttempts.
	MaximumRefusals int
	// ReplicaWait is the pause after which a shard without a usable replica, or without room
	// in its budget, is tried again; 0 means that it is settled without a reply, see waitOrSettle.
	ReplicaWait time.Duration
}

// Shard is one part of the plan.
type Shard struct {
	Candidates []balancer.Candidate
	Policy     Policy
	// Spent is how many of MaximumAttempts may have been made by another node, without a reply: the attempts of this
	// scatter are then retries. It must be less than MaximumAttempts.
	Spent int
}

// Policy decides about hedges and retries of one shard. One policy may serve many shards.
type Policy interface {
	// FirstAttempt records that the shard is asked for a request.
	FirstAttempt()
	// HedgeDelay returns how long to wait from the newest attempt until the hedge of a stage, counted from 0,
	// and whether there is such a stage.
	HedgeDelay(stage int) (time.Duration, bool)
	// TypicalLatency returns the typical latency of an attempt at any leaf; 0 if unknown.
	TypicalLatency() time.Duration
	// WorthHedging reports whether a hedge to a replica is useful that is expected to take that many
	// times the typical latency; 0 means unknown.
	WorthHedging(expectedSlowdown float64) bool
	// AllowHedge takes a hedge from the budget.
	AllowHedge() bool
	// AllowRetry takes a retry from the budget.
	AllowRetry() bool
	// Observe records the latency of an attempt; a lower bound if the attempt was cancelled.
	Observe(took time.Duration)
	// ObserveShed records that a leaf refused for lack of capacity.
	ObserveShed()
}

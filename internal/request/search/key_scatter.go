package search

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/manifest"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/request/hedging"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// errSuperseded is the cancellation cause of attempts whose replies are no longer needed.
var errSuperseded = errors.New("the attempt was cancelled because its reply is no longer needed")

// keyScatter sends a search to the leafs of every shard range of its plan.
type keyScatter struct {
	engine      *Engine
	query       *query
	service     *catalog.Service
	policy      *hedging.Policy
	shardRanges []manifest.ShardRange

	summary  scatter.Summary
	outcomes []shardOutcome
}

func newKeyScatter(engine *Engine, query *query, service *catalog.Service, policy *hedging.Policy, shardRanges []manifest.ShardRange) *keyScatter {
	return &keyScatter{engine: engine, query: query, service: service, policy: policy, shardRanges: shardRanges}
}

// run returns one outcome per shard range, once all attempts have ended or the deadline has passed.
func (s *keyScatter) run(ctx context.Context) []shardOutcome {
	plan := scatter.Plan{
		Shards:          make([]scatter.Shard, len(s.shardRanges)),
		Deadline:        s.query.deadline.Add(-s.engine.cfg.MergeReserve),
		AtMostOnce:      s.query.atMostOnce,
		NoHedges:        s.service.Spec.GetHedge().GetDisabled(),
		MaximumAttempts: s.engine.cfg.MaximumAttempts,
	}
	plan.Refresh = func(shard int) []balancer.Candidate { return s.candidatesFor(s.shardRanges[shard]) }
	for index, shardRange := range s.shardRanges {
		plan.Shards[index] = scatter.Shard{Candidates: s.candidatesFor(shardRange), Policy: s.policy}
	}
	s.setCaution(&plan)
	work := scatter.New(plan, scatter.Deps[shardReply]{
		Balancer: s.engine.balancer, Start: scatter.InBackground(s.runAttempt), Observer: s, Superseded: errSuperseded,
	})
	outcomes, summary := work.Run(ctx)
	s.summary = summary
	s.outcomes = make([]shardOutcome, len(outcomes))
	for index, outcome := range outcomes {
		s.outcomes[index] = shardOutcome{shardRange: s.shardRanges[index], reply: outcome.Reply, reason: missingReason(outcome.Reason)}
	}
	s.engine.metrics.CancelledAttempts.WithLabelValues(s.query.service).Add(float64(summary.Cancelled))
	return s.outcomes
}

// candidatesFor returns the replicas that an attempt may be sent to. If the caller chose the ID of an at-most-once
// search, it may repeat the search at another node. Such a search is only sent to the replica that every node selects
// for that ID, which refuses to run it twice.
func (s *keyScatter) candidatesFor(shardRange manifest.ShardRange) []balancer.Candidate {
	leafIDs := shardRange.Shard.LeafIDs
	if s.query.atMostOnce && s.query.hasCallerID {
		leafIDs = []string{designatedLeaf(s.query.id, leafIDs)}
	}
	evacuated := s.engine.catalog.View().Leafs
	candidates := make([]balancer.Candidate, 0, len(leafIDs))
	for _, leafID := range leafIDs {
		leaf, known := s.service.Leafs[leafID]
		if !known {
			continue
		}
		isLeaving := leaf.GetLeaving() || evacuated.IsEvacuated(leaf.GetZone())
		candidates = append(candidates, balancer.Candidate{LeafID: leafID, Zone: leaf.GetZone(), Leaving: isLeaving})
	}
	return candidates
}

// leafRequest returns the request that is sent to the leaf of an attempt.
func (s *keyScatter) leafRequest(attempt scatter.Attempt) *leafv1.SearchShardRequest {
	shardRange := s.shardRanges[attempt.Shard]
	request := &leafv1.SearchShardRequest{
		Identity: &leafv1.AttemptIdentity{
			RequestId:  s.query.id,
			SnapshotId: s.service.Manifest.SnapshotID,
			ShardId:    shardRange.Shard.ID,
			Attempt:    uint32(attempt.Number),
			Nonce:      rand.Uint64(),
		},
		Service:             s.query.service,
		KeyFrom:             shardRange.Range.From,
		KeyTo:               shardRange.Range.To,
		Filter:              s.query.filter,
		Limit:               uint32(s.query.limit),
		TimeRemainingMicros: attempt.Deadline.Sub(attempt.Started).Microseconds(),
	}
	if s.query.atMostOnce {
		request.ExecutionId = s.query.service + "/" + s.query.id + "/" + shardRange.Range.From
		request.NotAfterUnixMillis = s.query.deadline.UnixMilli()
	}
	return request
}

// AttemptStarted implements scatter.Observer.
func (s *keyScatter) AttemptStarted(attempt scatter.Attempt) {
	s.engine.metrics.Attempts.WithLabelValues(s.query.service, string(attempt.Kind)).Inc()
}

// AttemptEnded implements scatter.Observer.
func (s *keyScatter) AttemptEnded(scatter.Attempt, scatter.Result[shardReply], time.Duration) {}

// extraLoad returns the attempt counts for the report.
func (s *keyScatter) extraLoad() *searchv1.ExtraLoad {
	return &searchv1.ExtraLoad{
		Attempts: uint32(s.summary.Attempts), Hedges: uint32(s.summary.Hedges),
		Retries: uint32(s.summary.Retries), Cancelled: uint32(s.summary.Cancelled),
	}
}

// congested reports whether the leafs lack capacity: one of them shed an attempt or, for bulk services, the attempts of
// more than half of the shard ranges were queued. Bulk searches keep the leafs' queues short, so that urgent searches
// don't wait behind them.
func (s *keyScatter) congested() bool {
	if s.summary.Shed {
		return true
	}
	isBulk := s.service.Spec.GetUrgency() == adminv1.Urgency_URGENCY_BULK
	return isBulk && 2*s.summary.Queued > len(s.shardRanges)
}

// snapshotGone reports whether a shard range is missing because its leafs no longer have the snapshot.
func (s *keyScatter) snapshotGone() bool {
	for _, outcome := range s.outcomes {
		if outcome.reply == nil && outcome.reason == missingSnapshotGone {
			return true
		}
	}
	return false
}

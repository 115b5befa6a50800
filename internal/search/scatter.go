package search

import (
	"context"
	"math/rand/v2"
	"time"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/balancer"
	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/hedging"
	"github.com/portgauge/portgauge/internal/manifest"
)

// scatter asks the leafs for every part of one plan. One goroutine, the caller of run, owns
// all of its state; each attempt runs in a goroutine of its own that only sends its result.
type scatter struct {
	engine   *Engine
	query    *query
	service  *catalog.Service
	snapshot *manifest.Manifest
	policy   *hedging.Policy

	ctx     context.Context
	cancel  context.CancelFunc
	results chan attemptResult
	shards  []shardState
	open    int // shards without an outcome

	extra searchv1.ExtraLoad
	// ran, maybeRan and shed tell what is known of all attempts together.
	ran      bool
	maybeRan bool
	shed     bool
	// queued counts replies of leafs that had more attempts than slots.
	queued int
}

// shardState is the progress of one part of the plan.
type shardState struct {
	part       manifest.Part
	candidates []balancer.Candidate
	tried      map[string]bool
	attempts   int
	inFlight   int
	stage      int
	hedgeAt    time.Time // zero when no hedge is to come
	startedAt  time.Time // of the first attempt
	done       bool
	reply      *shardReply
	reason     missingReason
}

func newScatter(ctx context.Context, engine *Engine, query *query, service *catalog.Service, policy *hedging.Policy, parts []manifest.Part) *scatter {
	ctx, cancel := context.WithDeadline(ctx, query.deadline.Add(-engine.config.MergeReserve))
	s := &scatter{
		engine:   engine,
		query:    query,
		service:  service,
		snapshot: service.Manifest,
		policy:   policy,
		ctx:      ctx,
		cancel:   cancel,
		results:  make(chan attemptResult, len(parts)*engine.config.MaximumAttempts),
		shards:   make([]shardState, len(parts)),
		open:     len(parts),
	}
	for index, part := range parts {
		s.shards[index] = shardState{part: part, candidates: s.candidatesFor(part)}
	}
	return s
}

// candidatesFor gives the replicas that may be asked. A request that may run at most once,
// and that its caller may repeat at another node under the same id, goes to the one replica
// that every node picks for that id; its leaf refuses a second copy.
func (s *scatter) candidatesFor(part manifest.Part) []balancer.Candidate {
	leafIDs := part.Shard.LeafIDs
	if s.query.atMostOnce && s.query.callerNamed {
		leafIDs = []string{designatedLeaf(s.query.id, leafIDs)}
	}
	candidates := make([]balancer.Candidate, 0, len(leafIDs))
	for _, leafID := range leafIDs {
		leaf, known := s.service.Leafs[leafID]
		if !known {
			continue
		}
		candidates = append(candidates, balancer.Candidate{LeafID: leafID, Zone: leaf.GetZone(), Leaving: leaf.GetLeaving()})
	}
	return candidates
}

// run gives one outcome for each part. It returns when all are known or time is up.
func (s *scatter) run() []shardOutcome {
	defer s.cancel()
	s.policy.FirstAttempts(len(s.shards))
	for index := range s.shards {
		s.launch(index, firstAttempt)
	}
	timer := time.NewTimer(s.untilNextHedge())
	defer timer.Stop()
	for s.open > 0 {
		select {
		case result := <-s.results:
			s.handle(result)
		case <-timer.C:
			s.sendDueHedges()
			timer.Reset(s.untilNextHedge())
		case <-s.ctx.Done():
			s.giveUp()
		}
	}
	s.countCancelled()
	return s.outcomes()
}

// launch starts an attempt for a shard; with no replica to ask the shard is settled, unless
// an earlier attempt is still out.
func (s *scatter) launch(index int, kind attemptKind) bool {
	shard := &s.shards[index]
	choice := s.engine.balancer.Choose(shard.candidates, shard.tried)
	if choice.Leaf == nil {
		s.settleWithout(shard, missingReason(choice.Reason))
		return false
	}
	if shard.tried == nil {
		shard.tried = make(map[string]bool, len(shard.candidates))
	}
	shard.tried[choice.Leaf.ID] = true
	shard.attempts++
	shard.inFlight++
	s.count(kind)
	now := time.Now()
	if shard.startedAt.IsZero() {
		shard.startedAt = now
	}
	started := &attempt{
		shard:   index,
		kind:    kind,
		leaf:    choice.Leaf,
		address: s.service.Leafs[choice.Leaf.ID].GetAddress(),
		request: s.leafRequest(shard, now),
		started: now,
	}
	s.engine.balancer.Start(choice.Leaf)
	s.scheduleHedge(shard, now)
	go func() { s.results <- s.engine.runAttempt(s.ctx, started) }()
	return true
}

func (s *scatter) leafRequest(shard *shardState, now time.Time) *leafv1.SearchShardRequest {
	deadline, _ := s.ctx.Deadline()
	request := &leafv1.SearchShardRequest{
		Identity: &leafv1.AttemptIdentity{
			RequestId:  s.query.id,
			SnapshotId: s.snapshot.SnapshotID,
			ShardId:    shard.part.Shard.ID,
			Attempt:    uint32(shard.attempts),
			Nonce:      rand.Uint64(),
		},
		Service:             s.query.service,
		KeyFrom:             shard.part.Range.From,
		KeyTo:               shard.part.Range.To,
		Filter:              s.query.filter,
		Limit:               uint32(s.query.limit),
		TimeRemainingMicros: deadline.Sub(now).Microseconds(),
	}
	if s.query.atMostOnce {
		request.ExecutionId = s.query.service + "/" + s.query.id + "/" + shard.part.Range.From
		request.NotAfterUnixMillis = s.query.deadline.UnixMilli()
	}
	return request
}

func (s *scatter) count(kind attemptKind) {
	s.extra.Attempts++
	switch kind {
	case hedgeAttempt:
		s.extra.Hedges++
	case retryAttempt:
		s.extra.Retries++
	case firstAttempt:
	}
	s.engine.metrics.Attempts.WithLabelValues(s.query.service, string(kind)).Inc()
}

// handle learns from one attempt's end and decides what follows for its shard.
func (s *scatter) handle(result attemptResult) {
	shard := &s.shards[result.attempt.shard]
	shard.inFlight--
	s.learn(result)
	if shard.done {
		return
	}
	if result.reply != nil {
		shard.reply = result.reply
		s.settle(shard)
		return
	}
	shard.reason = result.reason
	if s.mayRetry(shard, result) && s.policy.AllowRetry() {
		s.launch(result.attempt.shard, retryAttempt)
		return
	}
	s.settleWithout(shard, result.reason)
}

func (s *scatter) learn(result attemptResult) {
	switch result.execution {
	case executionRan:
		s.ran = true
	case executionUnknown:
		s.maybeRan = true
	case executionNotRun:
	}
	if result.queued {
		s.queued++
	}
	if result.outcome == balancer.Shed {
		s.shed = true
		s.policy.Shed()
	}
	if result.outcome == balancer.Succeeded {
		s.policy.Observe(time.Since(result.attempt.started))
	}
}

// mayRetry says whether a shard may be asked again after a failed attempt. A request that
// may run at most once is asked again only after proof that the attempt did not run.
func (s *scatter) mayRetry(shard *shardState, result attemptResult) bool {
	if shard.attempts >= s.engine.config.MaximumAttempts || s.ctx.Err() != nil {
		return false
	}
	return !s.query.atMostOnce || result.execution == executionNotRun
}

// settleWithout ends a shard with no reply, unless an attempt is still out.
func (s *scatter) settleWithout(shard *shardState, reason missingReason) {
	if shard.reason == "" {
		shard.reason = reason
	}
	if shard.inFlight > 0 {
		return
	}
	s.settle(shard)
}

func (s *scatter) settle(shard *shardState) {
	shard.done = true
	s.open--
}

// giveUp settles every open shard when time is up or the caller went away.
func (s *scatter) giveUp() {
	for index := range s.shards {
		shard := &s.shards[index]
		if shard.done {
			continue
		}
		if shard.inFlight > 0 {
			s.maybeRan = true
		}
		shard.reason = missingDeadline
		s.settle(shard)
	}
}

// scheduleHedge sets when the shard's next hedge is due, counted from its newest attempt.
func (s *scatter) scheduleHedge(shard *shardState, now time.Time) {
	shard.hedgeAt = time.Time{}
	if s.query.atMostOnce || s.service.Spec.GetHedge().GetDisabled() {
		return
	}
	if delay, more := s.policy.Delay(shard.stage); more {
		shard.hedgeAt = now.Add(delay)
	}
}

// idleTimer is how long the hedge timer sleeps when no hedge is due.
const idleTimer = time.Hour

func (s *scatter) untilNextHedge() time.Duration {
	var next time.Time
	for index := range s.shards {
		shard := &s.shards[index]
		if shard.done || shard.hedgeAt.IsZero() {
			continue
		}
		if next.IsZero() || shard.hedgeAt.Before(next) {
			next = shard.hedgeAt
		}
	}
	if next.IsZero() {
		return idleTimer
	}
	return time.Until(next)
}

func (s *scatter) sendDueHedges() {
	now := time.Now()
	for index := range s.shards {
		shard := &s.shards[index]
		if shard.done || shard.hedgeAt.IsZero() || shard.hedgeAt.After(now) {
			continue
		}
		shard.hedgeAt = time.Time{}
		if shard.attempts >= s.engine.config.MaximumAttempts {
			continue
		}
		if !s.policy.AllowHedge() {
			// The budget is empty now; the shard may still be late when it is not.
			s.scheduleHedge(shard, now)
			continue
		}
		shard.stage++
		s.launch(index, hedgeAttempt)
	}
}

// countCancelled counts the attempts whose reply nobody waits for any more. What they took so
// far counts as their latency: left out, stragglers would vanish from the quantile by which
// hedges are sent, and hedges of ordinary attempts would use up the budget.
func (s *scatter) countCancelled() {
	now := time.Now()
	for index := range s.shards {
		shard := &s.shards[index]
		s.extra.Cancelled += uint32(shard.inFlight)
		for range shard.inFlight {
			s.policy.Observe(now.Sub(shard.startedAt))
		}
	}
	s.engine.metrics.CancelledAttempts.WithLabelValues(s.query.service).Add(float64(s.extra.Cancelled))
}

func (s *scatter) outcomes() []shardOutcome {
	outcomes := make([]shardOutcome, len(s.shards))
	for index := range s.shards {
		shard := &s.shards[index]
		outcomes[index] = shardOutcome{part: shard.part, reply: shard.reply, reason: shard.reason}
	}
	return outcomes
}

// congested reports whether leafs lack capacity for the query: one shed load or, for bulk
// services, most of them have attempts waiting. Bulk work leaves the queues of leafs short,
// so that urgent work beside it finds them so.
func (s *scatter) congested() bool {
	if s.shed {
		return true
	}
	isBulk := s.service.Spec.GetUrgency() == adminv1.Urgency_URGENCY_BULK
	return isBulk && 2*s.queued > len(s.shards)
}

// snapshotGone reports whether a part failed because its leafs no longer hold the snapshot.
func (s *scatter) snapshotGone() bool {
	for index := range s.shards {
		if s.shards[index].reply == nil && s.shards[index].reason == missingSnapshotGone {
			return true
		}
	}
	return false
}

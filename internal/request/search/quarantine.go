package search

import (
	"context"
	"errors"
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// errQuarantined is the cancellation cause of a search that was quarantined while it ran.
var errQuarantined = errors.New("the search crashes the leafs that run it")

// content returns the fingerprint of a search, which is the same for all of its repeats.
func (q *query) content() fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{
		Method: "SEARCH", Host: q.service, Path: q.queried.From, Query: q.queried.To, Body: []byte(strconv.Itoa(q.limit) + " " + q.filter),
	})
}

// guard registers a search with the quarantine, which cancels the returned context if the search is quarantined. It fails
// if the search already is; otherwise release must be called at its end.
func (e *Engine) guard(ctx context.Context, query *query) (guarded context.Context, release func(), err error) {
	if e.quarantine == nil {
		return ctx, func() {}, nil
	}
	guarded, cancel := context.WithCancelCause(ctx)
	subject := quarantine.NewSubject(query.content(), query.service+"/"+query.queried.From, "")
	query.tracked = e.quarantine.Begin(subject, func() { cancel(errQuarantined) })
	release = func() {
		query.tracked.End()
		cancel(nil)
	}
	if query.tracked.State() == quarantine.Quarantined {
		release()
		return nil, nil, quarantined(subject.Content, failure.NotRun).WithRetryAfter(e.quarantine.RetryAfter(subject.Content))
	}
	return guarded, release, nil
}

// quarantined returns the failure of a quarantined search.
func quarantined(content fingerprint.Fingerprint, execution failure.ExecutionState) *failure.Failure {
	return failure.New(failure.Quarantined, execution, "leafs crashed while they ran this search; no more are asked (%s)", content)
}

// caution sets how a plan treats leafs that crash under the search.
func (s *keyScatter) caution(plan *scatter.Plan) {
	if s.query.tracked == nil {
		return
	}
	plan.Cautious = s.query.tracked.State() == quarantine.Suspect
	plan.CrashedProbesLimit = quarantine.CrashedProbesLimit
}

// learn records what the end of an attempt says about the search. After a call broke off, it checks whether the leaf has
// exited. For a probe it waits for the result, since the next attempt depends on it; otherwise the check is concurrent.
func (s *keyScatter) learn(ctx context.Context, attempt scatter.Attempt, address string, err error, result scatter.Result[shardReply]) scatter.Result[shardReply] {
	tracked := s.query.tracked
	if tracked == nil {
		return result
	}
	if result.Execution == scatter.Ran {
		tracked.Answered()
	}
	isBroken := err != nil && ctx.Err() == nil && result.Execution == scatter.Unknown && status.Code(err) == codes.Unavailable
	if !isBroken || s.service.Leafs[attempt.Leaf.ID].GetLeaving() {
		return result
	}
	result.BrokeOff = true
	if !attempt.Probe {
		go func() {
			if s.engine.leafs.HasExited(context.WithoutCancel(ctx), address) {
				tracked.LeafCrashed(crashName(attempt.Leaf.ID), 0)
			}
		}()
		return result
	}
	if result.LeafCrashed = s.engine.leafs.HasExited(ctx, address); result.LeafCrashed {
		tracked.LeafCrashed(crashName(attempt.Leaf.ID), attempt.Number)
	}
	return result
}

// crashName names one crash of a leaf, by id and second. Leafs of searches keep their ids when they restart: by id alone, a
// search over a shard of two leafs could crash them forever without being counted as crashing three. Calls that notice
// the same crash do so within less time than a restart takes.
func crashName(leafID string) string { return leafID + "/" + time.Now().UTC().Format(time.TimeOnly) }

// isStopped reports whether the search was quarantined while it ran.
func (s *keyScatter) isStopped() bool { return s.query.tracked != nil && s.query.tracked.IsStopped() }

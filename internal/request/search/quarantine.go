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

// content returns the fingerprint of a search, which is the same whenever the search is repeated.
func (q *query) content() fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{
		Method: "SEARCH", Host: q.service, Path: q.keys.From, Query: q.keys.To, Body: []byte(strconv.Itoa(q.limit) + " " + q.filter),
	})
}

// track registers a search with the quarantine, which cancels the returned context if it quarantines the search. It
// fails if the search is already quarantined; otherwise release must be called when the search ends.
func (e *Engine) track(ctx context.Context, query *query) (trackedCtx context.Context, release func(), err error) {
	if e.quarantine == nil {
		return ctx, func() {}, nil
	}
	trackedCtx, cancel := context.WithCancelCause(ctx)
	subject := quarantine.NewSubject(query.content(), query.service+"/"+query.keys.From, "")
	query.tracked = e.quarantine.Begin(subject, func() { cancel(errQuarantined) })
	release = func() {
		query.tracked.End()
		cancel(nil)
	}
	if query.tracked.State() == quarantine.Quarantined {
		release()
		return nil, nil, quarantined(subject.Fingerprint, failure.NotRun).WithRetryAfter(e.quarantine.RetryAfter(subject.Fingerprint))
	}
	return trackedCtx, release, nil
}

// quarantined returns the failure of a quarantined search.
func quarantined(content fingerprint.Fingerprint, execution failure.ExecutionState) *failure.Failure {
	return failure.New(failure.Quarantined, execution, "leafs crashed while they ran this search; it is sent to no more leafs (%s)", content)
}

// setCaution makes a plan probe one leaf first if the search is suspected of crashing leafs, and limits the crashed
// probes.
func (s *keyScatter) setCaution(plan *scatter.Plan) {
	if s.query.tracked == nil {
		return
	}
	plan.Cautious = s.query.tracked.State() == quarantine.Suspect
	plan.CrashedProbesLimit = quarantine.CrashedProbesLimit
}

// trackCrash reports the end of an attempt to the quarantine. If the connection was lost, it checks whether the leaf
// has exited. It waits for this check if the attempt is a probe, since the next attempt depends on it; otherwise the
// check runs concurrently.
func (s *keyScatter) trackCrash(ctx context.Context, attempt scatter.Attempt, address string, err error, result scatter.Result[shardReply]) scatter.Result[shardReply] {
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
	result.ConnectionLost = true
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

// crashName identifies a crash by the leaf's ID and the second in which it is detected, since leafs of searches keep
// their IDs when they restart. With the ID alone, a search over a shard of two leafs could crash them forever without
// reaching three crashed leafs. Calls that detect a crash in the same second count it once.
func crashName(leafID string) string { return leafID + "/" + time.Now().UTC().Format(time.TimeOnly) }

// isStopped reports whether the search was quarantined while in flight.
func (s *keyScatter) isStopped() bool { return s.query.tracked != nil && s.query.tracked.IsStopped() }

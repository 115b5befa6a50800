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

// errQuarantined ends the work on a search that was put under quarantine meanwhile.
var errQuarantined = errors.New("the search ends the leafs that run it")

// content gives what tells a search from others.
func (q *query) content() fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{
		Method: "SEARCH", Host: q.service, Path: q.asked.From, Query: q.asked.To, Body: []byte(strconv.Itoa(q.limit) + " " + q.filter),
	})
}

// guard counts a search in and has it stopped when it is put under quarantine. It fails if that has happened; release
// must be called at its end otherwise.
func (e *Engine) guard(ctx context.Context, query *query) (guarded context.Context, release func(), err error) {
	if e.quarantine == nil {
		return ctx, func() {}, nil
	}
	guarded, cancel := context.WithCancelCause(ctx)
	subject := quarantine.NewSubject(query.content(), query.service+"/"+query.asked.From, "")
	query.try = e.quarantine.Begin(subject, func() { cancel(errQuarantined) })
	release = func() {
		query.try.End()
		cancel(nil)
	}
	if query.try.State() == quarantine.Quarantined {
		release()
		return nil, nil, quarantined(subject.Content, failure.NotRun).WithRetryAfter(e.quarantine.RetryAfter(subject.Content))
	}
	return guarded, release, nil
}

// quarantined makes the failure of a search under quarantine.
func quarantined(content fingerprint.Fingerprint, execution failure.ExecutionState) *failure.Failure {
	return failure.New(failure.Quarantined, execution, "leafs ended while they ran this search; it goes to no more of them (%s)", content)
}

// caution sets how a plan treats leafs that end under the search.
func (s *keyScatter) caution(plan *scatter.Plan) {
	if s.query.try == nil {
		return
	}
	plan.Cautious = s.query.try.State() == quarantine.Suspect
	plan.CrashedProbesLimit = quarantine.FatalProbes
}

// learn takes what the end of an attempt tells of the search. The end of a probe is known for sure before what follows is
// decided; a call that broke off is looked into beside otherwise.
func (s *keyScatter) learn(ctx context.Context, attempt scatter.Attempt, address string, err error, result scatter.Result[shardReply]) scatter.Result[shardReply] {
	try := s.query.try
	if try == nil {
		return result
	}
	if result.Execution == scatter.Ran {
		try.Answered()
	}
	isBroken := err != nil && ctx.Err() == nil && result.Execution == scatter.Unknown && status.Code(err) == codes.Unavailable
	if !isBroken || s.service.Leafs[attempt.Leaf.ID].GetLeaving() {
		return result
	}
	result.BrokeOff = true
	if !attempt.Probe {
		go func() {
			if s.engine.leafs.HasExited(context.WithoutCancel(ctx), address) {
				try.LeafCrashed(nameEnd(attempt.Leaf.ID), 0)
			}
		}()
		return result
	}
	if result.LeafCrashed = s.engine.leafs.HasExited(ctx, address); result.LeafCrashed {
		try.LeafCrashed(nameEnd(attempt.Leaf.ID), attempt.Number)
	}
	return result
}

// nameEnd names the end of a leaf's process. Leafs of searches keep their ids when they start again: by id alone, a search
// over a shard of two leafs would end them for ever and never have ended three. Several calls may see the same end, within
// less than a start takes.
func nameEnd(leafID string) string { return leafID + "/" + time.Now().UTC().Format(time.TimeOnly) }

// isStopped reports whether the search was put under quarantine meanwhile.
func (s *keyScatter) isStopped() bool { return s.query.try != nil && s.query.try.IsStopped() }

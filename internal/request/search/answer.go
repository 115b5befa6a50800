package search

import (
	"context"
	"time"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
)

// service returns the current configuration and snapshot of a service, to which the caller pins its search.
func (e *Engine) service(name string) (*catalog.Service, error) {
	service, found := e.catalog.View().Services[name]
	if !found || service.Spec == nil {
		return nil, failure.New(failure.UnknownService, failure.NotRun, "service %q does not exist", name)
	}
	if service.Manifest == nil {
		return nil, failure.New(failure.NoSnapshot, failure.NotRun, "service %q has no published snapshot", name).WithRetryAfter(notReadyRetryAfter)
	}
	return service, nil
}

// answer plans and scatters a search, and merges the replies. If leafs no longer have the pinned snapshot, it starts
// over on a newer one (see mayReplan). It also reports whether the search was congested.
func (e *Engine) answer(ctx context.Context, query *query) (*searchv1.SearchResponse, bool, error) {
	var extra searchv1.ExtraLoad
	ran, maybeRan, congested := false, false, false
	for replans := 0; ; replans++ {
		service, err := e.service(query.service)
		if err != nil {
			return nil, congested, withExecution(err, executionOf(ran, maybeRan))
		}
		work := newKeyScatter(e, query, service, e.policy(service.Spec), service.Manifest.Plan(query.keys))
		outcomes := work.run(ctx)
		addExtraLoad(&extra, work.extraLoad())
		ran, maybeRan = ran || work.summary.Ran, maybeRan || work.summary.MayHaveRun
		congested = congested || work.congested()
		if work.snapshotGone() && e.mayReplan(query, service, replans, ran || maybeRan) {
			continue
		}
		merged := merge(query.keys, outcomes, query.limit, e.cfg.MaximumAnswerBytes)
		response := e.report(query, service, &merged, &extra)
		return response, congested, e.failureOf(ctx, query, &merged, response, executionOf(ran, maybeRan))
	}
}

// mayReplan reports whether a search whose leafs dropped the pinned snapshot starts over on a newer one.
//
// Rule: yes, unless it has already been replanned Config.ReplanLimit times, it is at-most-once and may have run, less
// than Config.MinimumDeadline is left, or there is no newer snapshot.
func (e *Engine) mayReplan(query *query, pinned *catalog.Service, replans int, ran bool) bool {
	if replans >= e.cfg.ReplanLimit || (query.atMostOnce && ran) {
		return false
	}
	if time.Until(query.deadline) < e.cfg.MinimumDeadline {
		return false
	}
	newest, found := e.catalog.View().Services[query.service]
	return found && newest.Manifest != nil && newest.ManifestRevision > pinned.ManifestRevision
}

// report returns the response to a search: the merged rows and the report.
func (e *Engine) report(query *query, service *catalog.Service, merged *page, extra *searchv1.ExtraLoad) *searchv1.SearchResponse {
	return &searchv1.SearchResponse{
		Rows: merged.rows,
		Report: &searchv1.Report{
			RequestId:       query.id,
			SnapshotId:      service.Manifest.SnapshotID,
			Coverage:        merged.coverage(),
			NextKey:         merged.nextKey,
			ConfigRevision:  e.catalog.Revision(),
			ConfigAgeMillis: e.catalog.Age().Milliseconds(),
			ExtraLoad:       extra,
		},
	}
}

func addExtraLoad(total, more *searchv1.ExtraLoad) {
	total.Attempts += more.GetAttempts()
	total.Hedges += more.GetHedges()
	total.Retries += more.GetRetries()
	total.Cancelled += more.GetCancelled()
}

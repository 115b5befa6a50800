package search

import (
	"time"

	"go.uber.org/zap"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/failure"
)

// observe records the metrics and the debug log line of one search.
func (e *Engine) observe(request *searchv1.SearchRequest, response *searchv1.SearchResponse, err error, took time.Duration) {
	service, class := e.labels(request.GetService())
	e.metrics.SearchLatency.WithLabelValues(service, class).Observe(took.Seconds())
	if err != nil {
		failed := failure.From(err)
		e.metrics.Failures.WithLabelValues(service, string(failed.Code), failed.Execution.String()).Inc()
		e.logger.Debug("search failed", zap.String("service", service), zap.String("request_id", request.GetRequestId()),
			zap.String("code", string(failed.Code)), zap.Stringer("execution", failed.Execution), zap.Duration("took", took))
		return
	}
	report := response.GetReport()
	e.metrics.SearchCoverage.WithLabelValues(service).Observe(report.GetCoverage().GetFraction())
	e.logger.Debug("search answered", zap.String("service", service), zap.String("request_id", report.GetRequestId()),
		zap.String("snapshot", report.GetSnapshotId()), zap.Int64("revision", report.GetConfigRevision()),
		zap.Float64("coverage", report.GetCoverage().GetFraction()), zap.Duration("took", took))
}

// unknownServiceLabel is the metrics label of all unknown services, so that callers can't create arbitrary labels.
const unknownServiceLabel = "unknown"

// labels returns the metrics labels for the service with the given name.
func (e *Engine) labels(name string) (service, class string) {
	known, found := e.catalog.View().Services[name]
	if !found || known.Spec == nil {
		return unknownServiceLabel, unknownServiceLabel
	}
	return name, known.Spec.GetUrgency().String()
}

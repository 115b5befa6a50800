package search

import (
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine"
)

// Maximum sizes of a request's fields, in bytes.
const (
	maximumRequestID = 128
	maximumFilter    = 1024
	maximumKey       = 4096
)

// query is a valid search request with the defaults filled in.
type query struct {
	id string
	// hasCallerID is true if the caller chose the ID, and may send the request to another node under the same ID.
	hasCallerID          bool
	service              string
	keys                 keyspace.Range
	filter               string
	limit                int
	atMostOnce           bool
	requiresFullCoverage bool
	// deadline is the time by which the answer must be sent.
	deadline time.Time
	arrived  time.Time
	// tracked is the search's execution in the register of crashing requests; nil if there is no register.
	tracked *quarantine.Execution
}

// newQuery validates a request against the settings of its service. Its failures name the invalid field.
func newQuery(cfg Config, request *searchv1.SearchRequest, spec *adminv1.ServiceSpec, arrived time.Time) (*query, error) {
	if err := checkText(request); err != nil {
		return nil, err
	}
	keys := keyspace.Range{From: request.GetRange().GetFrom(), To: request.GetRange().GetTo()}
	if keys.Empty() {
		return nil, failure.Invalid("range.to", "must be greater than range.from")
	}
	limit := request.GetLimit()
	if limit > spec.GetPageSize() {
		return nil, failure.Invalid("limit", "%d is more than the service's page size %d", limit, spec.GetPageSize())
	}
	if limit == 0 {
		limit = spec.GetPageSize()
	}
	allowed, err := allowedTime(cfg, request.GetDeadlineMillis(), spec)
	if err != nil {
		return nil, err
	}
	id := request.GetRequestId()
	if id == "" {
		id = uuid.NewString()
	}
	return &query{
		id:                   id,
		hasCallerID:          request.GetRequestId() != "",
		service:              spec.GetName(),
		keys:                 keys,
		filter:               request.GetFilter(),
		limit:                int(limit),
		atMostOnce:           request.GetRepeatability() == searchv1.Repeatability_REPEATABILITY_AT_MOST_ONCE,
		requiresFullCoverage: request.GetCoverageDemand() == searchv1.CoverageDemand_COVERAGE_DEMAND_FULL,
		deadline:             arrived.Add(allowed),
		arrived:              arrived,
	}, nil
}

// allowedTime returns how long a search may take: the requested time, or the service's default if it is 0.
func allowedTime(cfg Config, requestedMillis uint32, spec *adminv1.ServiceSpec) (time.Duration, error) {
	if requestedMillis == 0 {
		requestedMillis = spec.GetDefaultDeadlineMillis()
	}
	if requestedMillis > spec.GetMaxDeadlineMillis() {
		return 0, failure.Invalid("deadline_millis", "%d is more than the service's maximum %d", requestedMillis, spec.GetMaxDeadlineMillis())
	}
	allowed := time.Duration(requestedMillis) * time.Millisecond
	if allowed < cfg.MinimumDeadline {
		return 0, failure.Invalid("deadline_millis", "%d is less than the minimum %d", requestedMillis, cfg.MinimumDeadline.Milliseconds())
	}
	return allowed, nil
}

// checkText validates the length and encoding of a request's text fields.
func checkText(request *searchv1.SearchRequest) error {
	fields := []struct {
		name    string
		value   string
		maximum int
	}{
		{"request_id", request.GetRequestId(), maximumRequestID},
		{"filter", request.GetFilter(), maximumFilter},
		{"range.from", request.GetRange().GetFrom(), maximumKey},
		{"range.to", request.GetRange().GetTo(), maximumKey},
	}
	for _, field := range fields {
		if len(field.value) > field.maximum {
			return failure.Invalid(field.name, "%d bytes exceed the maximum of %d bytes", len(field.value), field.maximum)
		}
		if !utf8.ValidString(field.value) {
			return failure.Invalid(field.name, "must be valid UTF-8")
		}
	}
	return nil
}

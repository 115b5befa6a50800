package admin

import (
	"context"
	"slices"
	"strings"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// ListQuarantine returns the quarantined requests in force on this node, sorted by path.
func (a *Admin) ListQuarantine() *adminv1.ListQuarantineResponse {
	response := &adminv1.ListQuarantineResponse{}
	for _, record := range a.catalog.View().Quarantine {
		response.Requests = append(response.Requests, &adminv1.QuarantinedRequest{
			Content: record.Fingerprint.String(), Path: record.Path, Caller: record.Caller, Leafs: record.Leafs,
			Trials: int32(record.Retests), FoundBy: record.FoundBy, Revision: record.Revision,
		})
	}
	slices.SortFunc(response.Requests, func(a, b *adminv1.QuarantinedRequest) int {
		return strings.Compare(a.GetPath()+a.GetContent(), b.GetPath()+b.GetContent())
	})
	return response
}

// LiftQuarantine ends the quarantine of a request if it still has the expected revision.
func (a *Admin) LiftQuarantine(ctx context.Context, request *adminv1.LiftQuarantineRequest) (*adminv1.LiftQuarantineResponse, error) {
	content, err := fingerprint.Parse(request.GetContent())
	if err != nil {
		return nil, failure.Invalid("content", "%q is not a fingerprint", request.GetContent())
	}
	if request.GetExpectedRevision() <= 0 {
		return nil, failure.Invalid("expected_revision", "must be the revision of the quarantine")
	}
	revision, _, err := a.writeDocument(ctx, catalog.QuarantineKey(content.String()), nil, request.GetExpectedRevision(), request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.LiftQuarantineResponse{Revision: revision}, nil
}

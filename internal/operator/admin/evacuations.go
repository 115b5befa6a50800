package admin

import (
	"context"
	"encoding/json"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
)

// evacuation is the document stored while a zone is evacuated. It is empty, since the key names the zone.
var evacuation = json.RawMessage(`{}`)

// EvacuateZone makes all nodes stop sending requests to the leafs of a zone. If two operators evacuate a zone at the same
// time, one of them gets a RevisionConflict.
func (a *Admin) EvacuateZone(ctx context.Context, request *adminv1.EvacuateZoneRequest) (*adminv1.EvacuateZoneResponse, error) {
	if request.GetZone() == "" {
		return nil, failure.Invalid("zone", "must not be empty")
	}
	revision, changeID, err := a.writeDocument(ctx, catalog.EvacuationKey(request.GetZone()), evacuation, 0, request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.EvacuateZoneResponse{Revision: revision, ChangeId: changeID}, nil
}

// RestoreZone ends the evacuation of a zone if it still has the expected revision.
func (a *Admin) RestoreZone(ctx context.Context, request *adminv1.RestoreZoneRequest) (*adminv1.RestoreZoneResponse, error) {
	if request.GetZone() == "" {
		return nil, failure.Invalid("zone", "must not be empty")
	}
	if request.GetExpectedRevision() <= 0 {
		return nil, failure.Invalid("expected_revision", "must be the revision of the evacuation")
	}
	revision, _, err := a.writeDocument(ctx, catalog.EvacuationKey(request.GetZone()), nil, request.GetExpectedRevision(), request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.RestoreZoneResponse{Revision: revision}, nil
}

// ListEvacuatedZones returns the evacuations in force on this node, sorted by zone.
func (a *Admin) ListEvacuatedZones() *adminv1.ListEvacuatedZonesResponse {
	response := &adminv1.ListEvacuatedZonesResponse{}
	for _, zone := range a.catalog.View().Leafs.EvacuatedZones() {
		entry, found := a.catalog.Entry(catalog.EvacuationKey(zone))
		if !found {
			continue // restored after the view was read
		}
		response.Zones = append(response.Zones, &adminv1.EvacuatedZone{Zone: zone, Revision: entry.Revision})
	}
	return response
}

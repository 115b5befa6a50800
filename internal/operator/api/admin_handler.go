package api

import (
	"context"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/operator/admin"
	"github.com/portgauge/portgauge/internal/request/search"
)

// watchBuffer is how many changes a slow watcher may lag behind before it misses changes.
const watchBuffer = 1024

type adminHandler struct {
	admin   *admin.Admin
	catalog *catalog.Catalog
	syncer  *configsync.Syncer
	engine  *search.Engine
	nodeID  string
}

var _ adminv1connect.AdminServiceHandler = (*adminHandler)(nil)

// reply returns the response of a call, or its error as an RPC error.
func reply[T any](message *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, toRPC(err)
	}
	return connect.NewResponse(message), nil
}

func (h *adminHandler) ApplyService(ctx context.Context, request *connect.Request[adminv1.ApplyServiceRequest]) (*connect.Response[adminv1.ApplyServiceResponse], error) {
	return reply(h.admin.ApplyService(ctx, request.Msg))
}

func (h *adminHandler) GetService(_ context.Context, request *connect.Request[adminv1.GetServiceRequest]) (*connect.Response[adminv1.GetServiceResponse], error) {
	return reply(h.admin.GetService(request.Msg.GetName()))
}

func (h *adminHandler) ListServices(context.Context, *connect.Request[adminv1.ListServicesRequest]) (*connect.Response[adminv1.ListServicesResponse], error) {
	return connect.NewResponse(h.admin.ListServices()), nil
}

func (h *adminHandler) DeleteService(ctx context.Context, request *connect.Request[adminv1.DeleteServiceRequest]) (*connect.Response[adminv1.DeleteServiceResponse], error) {
	return reply(h.admin.DeleteService(ctx, request.Msg))
}

func (h *adminHandler) PublishSnapshot(ctx context.Context, request *connect.Request[adminv1.PublishSnapshotRequest]) (*connect.Response[adminv1.PublishSnapshotResponse], error) {
	return reply(h.admin.PublishSnapshot(ctx, request.Msg))
}

func (h *adminHandler) ListSnapshots(_ context.Context, request *connect.Request[adminv1.ListSnapshotsRequest]) (*connect.Response[adminv1.ListSnapshotsResponse], error) {
	return reply(h.admin.ListSnapshots(request.Msg.GetService()))
}

func (h *adminHandler) ApplyRoutes(ctx context.Context, request *connect.Request[adminv1.ApplyRoutesRequest]) (*connect.Response[adminv1.ApplyRoutesResponse], error) {
	return reply(h.admin.ApplyRoutes(ctx, request.Msg))
}

func (h *adminHandler) GetRoutes(context.Context, *connect.Request[adminv1.GetRoutesRequest]) (*connect.Response[adminv1.GetRoutesResponse], error) {
	return reply(h.admin.GetRoutes())
}

func (h *adminHandler) ApplyLeaf(ctx context.Context, request *connect.Request[adminv1.ApplyLeafRequest]) (*connect.Response[adminv1.ApplyLeafResponse], error) {
	return reply(h.admin.ApplyLeaf(ctx, request.Msg))
}

func (h *adminHandler) DeleteLeaf(ctx context.Context, request *connect.Request[adminv1.DeleteLeafRequest]) (*connect.Response[adminv1.DeleteLeafResponse], error) {
	return reply(h.admin.DeleteLeaf(ctx, request.Msg))
}

func (h *adminHandler) EvacuateZone(ctx context.Context, request *connect.Request[adminv1.EvacuateZoneRequest]) (*connect.Response[adminv1.EvacuateZoneResponse], error) {
	return reply(h.admin.EvacuateZone(ctx, request.Msg))
}

func (h *adminHandler) RestoreZone(ctx context.Context, request *connect.Request[adminv1.RestoreZoneRequest]) (*connect.Response[adminv1.RestoreZoneResponse], error) {
	return reply(h.admin.RestoreZone(ctx, request.Msg))
}

func (h *adminHandler) ListEvacuatedZones(context.Context, *connect.Request[adminv1.ListEvacuatedZonesRequest]) (*connect.Response[adminv1.ListEvacuatedZonesResponse], error) {
	return connect.NewResponse(h.admin.ListEvacuatedZones()), nil
}

func (h *adminHandler) ListQuarantine(context.Context, *connect.Request[adminv1.ListQuarantineRequest]) (*connect.Response[adminv1.ListQuarantineResponse], error) {
	return connect.NewResponse(h.admin.ListQuarantine()), nil
}

func (h *adminHandler) LiftQuarantine(ctx context.Context, request *connect.Request[adminv1.LiftQuarantineRequest]) (*connect.Response[adminv1.LiftQuarantineResponse], error) {
	return reply(h.admin.LiftQuarantine(ctx, request.Msg))
}

func (h *adminHandler) StartRollout(ctx context.Context, request *connect.Request[adminv1.StartRolloutRequest]) (*connect.Response[adminv1.StartRolloutResponse], error) {
	return reply(h.admin.StartRollout(ctx, request.Msg))
}

func (h *adminHandler) CancelRollout(ctx context.Context, request *connect.Request[adminv1.CancelRolloutRequest]) (*connect.Response[adminv1.CancelRolloutResponse], error) {
	return reply(h.admin.CancelRollout(ctx, request.Msg))
}

func (h *adminHandler) GetRollout(_ context.Context, request *connect.Request[adminv1.GetRolloutRequest]) (*connect.Response[adminv1.GetRolloutResponse], error) {
	return reply(h.admin.GetRollout(request.Msg))
}

func (h *adminHandler) ListRollouts(context.Context, *connect.Request[adminv1.ListRolloutsRequest]) (*connect.Response[adminv1.ListRolloutsResponse], error) {
	return connect.NewResponse(h.admin.ListRollouts()), nil
}

func (h *adminHandler) WatchServices(ctx context.Context, request *connect.Request[adminv1.WatchServicesRequest], stream *connect.ServerStream[adminv1.WatchServicesResponse]) error {
	changes, cancel := h.catalog.Subscribe(watchBuffer)
	defer cancel()
	sent := int64(0)
	if after := request.Msg.GetAfterRevision(); after > 0 {
		missed, _ := h.catalog.Since(after)
		for _, change := range missed {
			if err := sendChange(stream, change); err != nil {
				return err
			}
			sent = change.Entry.Revision
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case change := <-changes:
			if change.Entry.Revision <= sent {
				continue
			}
			if err := sendChange(stream, change); err != nil {
				return err
			}
			sent = change.Entry.Revision
		}
	}
}

// sendChange sends one response for each changed key.
func sendChange(stream *connect.ServerStream[adminv1.WatchServicesResponse], change catalog.Change) error {
	for _, entry := range change.Entries() {
		if entry.Key == catalog.MarkerKey {
			continue // the marker only advances the revision
		}
		response := &adminv1.WatchServicesResponse{Revision: change.Entry.Revision, Key: entry.Key, Deleted: entry.Deleted}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
	return nil
}

func (h *adminHandler) GetStatus(ctx context.Context, request *connect.Request[adminv1.GetStatusRequest]) (*connect.Response[adminv1.GetStatusResponse], error) {
	response := &adminv1.GetStatusResponse{
		NodeId:          h.nodeID,
		Revision:        h.catalog.Revision(),
		ConfigAgeMillis: h.catalog.Age().Milliseconds(),
		Ready:           h.engine.Ready(),
		Draining:        h.engine.Draining(),
	}
	for _, zone := range h.syncer.Status(ctx, request.Msg.GetRevision()) {
		response.Zones = append(response.Zones, &adminv1.ZoneStatus{
			Zone: zone.Zone, Nodes: zone.Nodes, InForce: zone.InForce, LowestRevision: zone.LowestRevision,
		})
	}
	return connect.NewResponse(response), nil
}

// Package admin implements the operators' calls: it validates changes, writes them by compare-and-swap, and returns the
// configuration in force on the node.
//
// An Admin keeps no state and starts no goroutines. It reads the catalog, which may lag behind the store, and writes
// through a configwriter.Writer. Errors have one of these codes of package failure: InvalidField, the Unknown codes,
// RevisionConflict, StoreUnavailable, OutcomeUnknown and Internal.
package admin

import (
	"context"
	"sort"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configwriter"
	"github.com/portgauge/portgauge/internal/config/manifest"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
)

// Admin implements the operators' calls on one node. It is safe for concurrent use.
type Admin struct {
	catalog *catalog.Catalog
	store   store.Store
	writer  *configwriter.Writer
}

func New(cat *catalog.Catalog, configStore store.Store, writer *configwriter.Writer) *Admin {
	return &Admin{catalog: cat, store: configStore, writer: writer}
}

// ApplyService validates the spec of a service and writes it.
func (a *Admin) ApplyService(ctx context.Context, request *adminv1.ApplyServiceRequest) (*adminv1.ApplyServiceResponse, error) {
	spec := request.GetSpec()
	if spec != nil {
		spec = proto.CloneOf(spec)
		FillDefaults(spec)
	}
	if err := ValidateSpec(spec); err != nil {
		return nil, joinFailures(err)
	}
	if err := a.checkReplicasRemain(spec); err != nil {
		return nil, err
	}
	changeID, err := changeIDOf(request.GetChangeId())
	if err != nil {
		return nil, err
	}
	revision, err := a.writer.Apply(ctx, configwriter.Write{
		Key: catalog.ServiceKey(spec.GetName()), Expected: request.GetExpectedRevision(), ChangeID: changeID, Message: spec,
	})
	if err != nil {
		return nil, err
	}
	return &adminv1.ApplyServiceResponse{Revision: revision, ChangeId: changeID}, nil
}

// checkReplicasRemain returns an error if a spec would leave a shard of the current snapshot without a replica.
func (a *Admin) checkReplicasRemain(spec *adminv1.ServiceSpec) error {
	service, found := a.catalog.View().Services[spec.GetName()]
	if !found || service.Manifest == nil {
		return nil
	}
	remaining := leafIDs(spec)
	for _, shard := range service.Manifest.Shards {
		if !anyIn(shard.LeafIDs, remaining) {
			return failure.Invalid("spec.leafs", "shard %q of snapshot %q would have no replica left", shard.ID, service.Manifest.SnapshotID)
		}
	}
	return nil
}

func anyIn(ids []string, set map[string]bool) bool {
	for _, id := range ids {
		if set[id] {
			return true
		}
	}
	return false
}

func leafIDs(spec *adminv1.ServiceSpec) map[string]bool {
	ids := make(map[string]bool, len(spec.GetLeafs()))
	for _, leaf := range spec.GetLeafs() {
		ids[leaf.GetId()] = true
	}
	return ids
}

// DeleteService deletes a service. Its snapshot stays, in case the service is created again.
func (a *Admin) DeleteService(ctx context.Context, request *adminv1.DeleteServiceRequest) (*adminv1.DeleteServiceResponse, error) {
	changeID, err := changeIDOf(request.GetChangeId())
	if err != nil {
		return nil, err
	}
	if request.GetExpectedRevision() <= 0 {
		return nil, failure.Invalid("expected_revision", "must be the current revision of the service")
	}
	revision, err := a.writer.Apply(ctx, configwriter.Write{
		Key: catalog.ServiceKey(request.GetName()), Expected: request.GetExpectedRevision(), ChangeID: changeID,
	})
	if err != nil {
		return nil, err
	}
	return &adminv1.DeleteServiceResponse{Revision: revision}, nil
}

// PublishSnapshot validates a manifest and makes it the current manifest of its service.
func (a *Admin) PublishSnapshot(ctx context.Context, request *adminv1.PublishSnapshotRequest) (*adminv1.PublishSnapshotResponse, error) {
	compiled, err := manifest.New(request.GetManifest())
	if err != nil {
		return nil, err
	}
	if len(compiled.SnapshotID) > maximumSnapshotIDLength {
		return nil, failure.Invalid("manifest.snapshot_id", "%d bytes exceed the maximum of %d bytes", len(compiled.SnapshotID), maximumSnapshotIDLength)
	}
	changeID, err := changeIDOf(request.GetChangeId())
	if err != nil {
		return nil, err
	}
	if err := a.checkManifestLeafs(ctx, compiled); err != nil {
		return nil, err
	}
	revision, err := a.writer.Apply(ctx, configwriter.Write{
		Key: catalog.ManifestKey(compiled.Service), Expected: request.GetExpectedRevision(), ChangeID: changeID, Message: request.GetManifest(),
	})
	if err != nil {
		return nil, err
	}
	return &adminv1.PublishSnapshotResponse{Revision: revision, ChangeId: changeID}, nil
}

// checkManifestLeafs checks that a manifest names only leafs of its service. It reads the service from the store, since the
// catalog may lag behind a service that was just applied through another node.
func (a *Admin) checkManifestLeafs(ctx context.Context, compiled *manifest.Manifest) error {
	entry, err := a.store.Get(ctx, catalog.ServiceKey(compiled.Service))
	if err != nil {
		return failure.Wrap(err, failure.StoreUnavailable, failure.NotRun, "read the service from the store").WithRetryAfter(notReadyRetryAfter)
	}
	if entry == nil || entry.Deleted {
		return failure.New(failure.UnknownService, failure.NotRun, "service %q does not exist", compiled.Service)
	}
	spec, err := catalog.DecodeService(*entry)
	if err != nil {
		return err
	}
	return compiled.CheckLeafs(leafIDs(spec))
}

// GetService returns a service in force on this node.
func (a *Admin) GetService(name string) (*adminv1.GetServiceResponse, error) {
	service, found := a.catalog.View().Services[name]
	if !found || service.Spec == nil {
		return nil, failure.New(failure.UnknownService, failure.NotRun, "service %q does not exist", name)
	}
	return &adminv1.GetServiceResponse{Spec: service.Spec, Revision: service.Revision}, nil
}

// ListServices returns all services in force on this node, sorted by name.
func (a *Admin) ListServices() *adminv1.ListServicesResponse {
	response := &adminv1.ListServicesResponse{}
	for _, service := range a.catalog.View().Services {
		if service.Spec != nil {
			response.Services = append(response.Services, &adminv1.GetServiceResponse{Spec: service.Spec, Revision: service.Revision})
		}
	}
	sort.Slice(response.Services, func(i, j int) bool {
		return response.Services[i].GetSpec().GetName() < response.Services[j].GetSpec().GetName()
	})
	return response
}

// ListSnapshots returns the current snapshots in force on this node, sorted by service: of one service, or of all if the
// name is empty.
func (a *Admin) ListSnapshots(service string) (*adminv1.ListSnapshotsResponse, error) {
	response := &adminv1.ListSnapshotsResponse{}
	for name, current := range a.catalog.View().Services {
		if current.Manifest == nil || (service != "" && name != service) {
			continue
		}
		entry, found := a.catalog.Entry(catalog.ManifestKey(name))
		if !found {
			continue
		}
		message, err := catalog.DecodeManifest(entry)
		if err != nil {
			return nil, err
		}
		response.Snapshots = append(response.Snapshots, &adminv1.SnapshotEntry{Manifest: message, Revision: current.ManifestRevision})
	}
	sort.Slice(response.Snapshots, func(i, j int) bool {
		return response.Snapshots[i].GetManifest().GetService() < response.Snapshots[j].GetManifest().GetService()
	})
	return response, nil
}

// changeIDOf returns the change ID of a request, or a new ID if the request has none.
func changeIDOf(given string) (string, error) {
	if given == "" {
		return uuid.NewString(), nil
	}
	if len(given) > maximumChangeIDLength {
		return "", failure.Invalid("change_id", "%d bytes exceed the maximum of %d bytes", len(given), maximumChangeIDLength)
	}
	return given, nil
}

// joinFailures returns the first failure of an error, with the other failures added to its message.
func joinFailures(err error) error {
	failures := failure.Faults(err)
	first := *failures[0]
	for _, other := range failures[1:] {
		first.Message += "; " + other.Field + ": " + other.Message
	}
	return &first
}

package admin

import (
	"context"
	"encoding/json"
	"net/netip"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configwriter"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// ApplyRoutes validates the routing configuration and replaces the current one with it.
func (a *Admin) ApplyRoutes(ctx context.Context, request *adminv1.ApplyRoutesRequest) (*adminv1.ApplyRoutesResponse, error) {
	configuration, err := routing.Parse([]byte(request.GetDocument()))
	if err != nil {
		return nil, joinFailures(err)
	}
	document, err := json.Marshal(configuration)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode routes")
	}
	revision, changeID, err := a.writeDocument(ctx, catalog.RoutesKey, document, request.GetExpectedRevision(), request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.ApplyRoutesResponse{Revision: revision, ChangeId: changeID}, nil
}

// GetRoutes returns the routing configuration in force on this node.
func (a *Admin) GetRoutes() (*adminv1.GetRoutesResponse, error) {
	table := a.catalog.View().Routes
	entry, found := a.catalog.Entry(catalog.RoutesKey)
	if table == nil || !found {
		return nil, failure.New(failure.UnknownRoute, failure.NotRun, "there are no routes")
	}
	document, err := catalog.DecodeDocument(entry)
	if err != nil {
		return nil, err
	}
	return &adminv1.GetRoutesResponse{
		Document: string(document), Revision: table.Revision, Version: table.Version,
		ConfigAgeMillis: a.catalog.Age().Milliseconds(),
	}, nil
}

// ApplyLeaf validates and writes the record of a leaf.
func (a *Admin) ApplyLeaf(ctx context.Context, request *adminv1.ApplyLeafRequest) (*adminv1.ApplyLeafResponse, error) {
	leaf := request.GetLeaf()
	if err := validateLeafRecord(leaf); err != nil {
		return nil, joinFailures(err)
	}
	record := leafset.Record{
		Name: leaf.GetId(), Service: leaf.GetService(), Address: leaf.GetAddress(), Zone: leaf.GetZone(),
		Slots: int(leaf.GetSlots()), State: leafset.Ready, Version: leaf.GetVersion(),
	}
	if leaf.GetDraining() {
		record.State = leafset.Draining
	}
	document, err := json.Marshal(record)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode leaf")
	}
	revision, _, err := a.writeDocument(ctx, catalog.LeafKey(record.Name), document, request.GetExpectedRevision(), request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.ApplyLeafResponse{Revision: revision}, nil
}

func validateLeafRecord(leaf *adminv1.LeafRecord) error {
	var checks failure.Checks
	checks.Refuse(leaf.GetId() == "", "leaf.id", "must not be empty")
	checks.Refuse(leaf.GetService() == "", "leaf.service", "must not be empty")
	_, err := netip.ParseAddrPort(leaf.GetAddress())
	checks.Refuse(err != nil, "leaf.address", "%q is invalid; must be an IP address and port, such as 127.0.0.1:7500", leaf.GetAddress())
	return checks.Err()
}

// DeleteLeaf deletes the record of a leaf.
func (a *Admin) DeleteLeaf(ctx context.Context, request *adminv1.DeleteLeafRequest) (*adminv1.DeleteLeafResponse, error) {
	if request.GetExpectedRevision() <= 0 {
		return nil, failure.Invalid("expected_revision", "must be the current revision of the leaf")
	}
	revision, _, err := a.writeDocument(ctx, catalog.LeafKey(request.GetId()), nil, request.GetExpectedRevision(), request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.DeleteLeafResponse{Revision: revision}, nil
}

// writeDocument writes a document by compare-and-swap. A nil document deletes the key.
func (a *Admin) writeDocument(ctx context.Context, key string, document json.RawMessage, expected int64, givenChangeID string) (revision int64, changeID string, err error) {
	changeID, err = changeIDOf(givenChangeID)
	if err != nil {
		return 0, "", err
	}
	revision, err = a.writer.Apply(ctx, configwriter.Write{Key: key, Expected: expected, ChangeID: changeID, Document: document})
	return revision, changeID, err
}

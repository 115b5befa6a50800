// Package ownplatform implements the client of this product's own platform protocol (proto/portgauge/platform/v1): a store
// with leases and a machine list over gRPC. A node uses it unless the settings name another platform. The adapter to the
// users' platform is package platform at the root of the repository; internal/lab/platform serves this protocol in tests.
//
// A Client owns one gRPC connection, opened on first use. It keeps no other state and never retries; callers set timeouts
// and retry. Errors are gRPC statuses prefixed with the name of the call, or store.ErrLeaseGone for a lease that has ended.
package ownplatform

import (
	"context"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/machines"
)

// Client calls the platform over one connection. It is safe for concurrent use.
type Client struct {
	connection *grpc.ClientConn
	store      platformv1.StoreServiceClient
	machines   platformv1.MachineListServiceClient
}

var (
	_ store.Store     = (*Client)(nil)
	_ store.Guarded   = (*Client)(nil)
	_ machines.Lister = (*Client)(nil)
)

// maximumHeaderBytes is the maximum size of the headers, and of the trailers, of an answer. A message has gRPC's maximum of
// 4 MB.
const maximumHeaderBytes = 64 << 10

// New returns a client of the platform at an address. The connection is opened on first use.
func New(address string, meter Meter) (*Client, error) {
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithMaxHeaderListSize(maximumHeaderBytes),
		grpc.WithStatsHandler(byteCounter{meter: meter}))
	if err != nil {
		return nil, merry.Prepend(err, "platform address")
	}
	return &Client{
		connection: connection,
		store:      platformv1.NewStoreServiceClient(connection),
		machines:   platformv1.NewMachineListServiceClient(connection),
	}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.connection.Close() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (*catalog.Entry, error) {
	response, err := c.store.Get(ctx, &platformv1.GetRequest{Key: key})
	if err != nil {
		return nil, merry.Prepend(err, "store get")
	}
	return entryFrom(response.GetEntry()), nil
}

// List implements store.Store. The result is always linearizable.
func (c *Client) List(ctx context.Context, _ store.Consistency) (catalog.Snapshot, error) {
	response, err := c.store.List(ctx, &platformv1.ListRequest{})
	if err != nil {
		return catalog.Snapshot{}, merry.Prepend(err, "store list")
	}
	snapshot := catalog.Snapshot{Revision: response.GetRevision()}
	for _, entry := range response.GetEntries() {
		snapshot.Entries = append(snapshot.Entries, *entryFrom(entry))
	}
	return snapshot, nil
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, remove bool) (store.SwapResult, error) {
	return c.swap(ctx, &platformv1.CompareAndSwapRequest{Key: key, ExpectedRevision: expected, Value: value, Delete: remove})
}

// CompareAndSwapIf implements store.Guarded.
func (c *Client) CompareAndSwapIf(ctx context.Context, conditions []store.Condition, key string, expected int64, value []byte) (store.SwapResult, error) {
	request := &platformv1.CompareAndSwapRequest{Key: key, ExpectedRevision: expected, Value: value}
	for _, condition := range conditions {
		request.Conditions = append(request.Conditions, &platformv1.Condition{Key: condition.Key, Revision: condition.Revision})
	}
	return c.swap(ctx, request)
}

func (c *Client) swap(ctx context.Context, request *platformv1.CompareAndSwapRequest) (store.SwapResult, error) {
	response, err := c.store.CompareAndSwap(ctx, request)
	if err != nil {
		return store.SwapResult{}, merry.Prepend(err, "store compare-and-swap")
	}
	return store.SwapResult{Swapped: response.GetSwapped(), Entry: entryFrom(response.GetEntry())}, nil
}

// Watch implements store.Store. The stream delivers each change at once, whatever the role.
func (c *Client) Watch(ctx context.Context, after int64, _ store.WatchRole, receive func(store.Event) error) error {
	stream, err := c.store.Watch(ctx, &platformv1.WatchRequest{AfterRevision: after})
	if err != nil {
		return merry.Prepend(err, "store watch")
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			return merry.Prepend(err, "store watch")
		}
		event := store.Event{Current: response.GetCurrentRevision()}
		if entry := entryFrom(response.GetEntry()); entry != nil {
			event.Change = &catalog.Change{Entry: *entry, Previous: response.GetPreviousRevision()}
		}
		if err := receive(event); err != nil {
			return err
		}
	}
}

// ListMachines implements machines.Lister.
func (c *Client) ListMachines(ctx context.Context, query machines.Query) (machines.List, error) {
	response, err := c.machines.ListMachines(ctx, &platformv1.ListMachinesRequest{
		Zone: query.Zone, Role: string(query.Role), MostPerZone: query.MaxPerZone, KnownVersion: query.KnownVersion,
	})
	if err != nil {
		return machines.List{}, merry.Prepend(err, "list machines")
	}
	list := machines.List{Version: response.GetVersion(), Unchanged: response.GetUnchanged()}
	for _, machine := range response.GetMachines() {
		list.Machines = append(list.Machines, machineFrom(machine))
	}
	return list, nil
}

func machineFrom(machine *platformv1.Machine) machines.Machine {
	state := machines.Live
	if machine.GetState() == platformv1.MachineState_MACHINE_STATE_LEAVING {
		state = machines.Leaving
	}
	return machines.Machine{
		ID: machine.GetId(), Address: machine.GetAddress(), Zone: machine.GetZone(),
		State: state, Role: machines.Role(machine.GetRole()),
	}
}

func entryFrom(entry *platformv1.Entry) *catalog.Entry {
	if entry == nil {
		return nil
	}
	return &catalog.Entry{Key: entry.GetKey(), Value: entry.GetValue(), Revision: entry.GetRevision(), Deleted: entry.GetDeleted()}
}

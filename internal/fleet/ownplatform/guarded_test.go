package ownplatform

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/lab/platform"
)

// callsPerSecond is the rate limit of the simulated platform; no test reaches it.
const callsPerSecond = 1000

// start starts a simulated platform on the loopback interface and returns a client of it.
func start(t *testing.T) *Client {
	t.Helper()
	var listening net.ListenConfig
	listener, err := listening.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	platformv1.RegisterStoreServiceServer(server, platform.New(callsPerSecond))
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	client, err := New(listener.Addr().String(), func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// A guarded write succeeds only if each condition holds. A key that was never written has revision 0.
func TestGuardedWriteRequiresAllConditions(t *testing.T) {
	is := is.New(t)
	client := start(t)
	spec, err := client.CompareAndSwap(t.Context(), "order", 0, []byte(`1`), false)
	is.NoErr(err)
	conditions := []store.Condition{{Key: "order", Revision: spec.Entry.Revision}, {Key: "absent"}}
	written, err := client.CompareAndSwapIf(t.Context(), conditions, "state", 0, []byte(`a`))
	is.NoErr(err)
	is.True(written.Swapped)
	again, err := client.CompareAndSwapIf(t.Context(), conditions, "state", 0, []byte(`b`))
	is.NoErr(err)
	is.True(!again.Swapped) // the revision of the written key is compared as well
	_, err = client.CompareAndSwap(t.Context(), "order", spec.Entry.Revision, nil, true)
	is.NoErr(err)
	refused, err := client.CompareAndSwapIf(t.Context(), conditions, "state", written.Entry.Revision, []byte(`c`))
	is.NoErr(err)
	is.True(!refused.Swapped)
	is.Equal(string(refused.Entry.Value), `a`)
	deleted := []store.Condition{{Key: "order"}}
	written, err = client.CompareAndSwapIf(t.Context(), deleted, "state", written.Entry.Revision, []byte(`d`))
	is.NoErr(err)
	is.True(written.Swapped) // a deleted key has revision 0
}

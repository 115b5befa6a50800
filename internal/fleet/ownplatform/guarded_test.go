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

// callsPerSecond is the stand-in's rate limit, higher than a test needs.
const callsPerSecond = 1000

// start returns a client of a stand-in platform on the loopback interface.
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

// A guarded write succeeds only while each condition holds; a key that was never written has revision 0.
func TestGuardedWriteNeedsItsConditions(t *testing.T) {
	is := is.New(t)
	client := start(t)
	order, err := client.CompareAndSwap(t.Context(), "order", 0, []byte(`1`), false)
	is.NoErr(err)
	conditions := []store.Condition{{Key: "order", Revision: order.Entry.Revision}, {Key: "absent"}}
	written, err := client.CompareAndSwapIf(t.Context(), conditions, "state", 0, []byte(`a`))
	is.NoErr(err)
	is.True(written.Swapped)
	again, err := client.CompareAndSwapIf(t.Context(), conditions, "state", 0, []byte(`b`))
	is.NoErr(err)
	is.True(!again.Swapped) // the key's own revision is compared too
	_, err = client.CompareAndSwap(t.Context(), "order", order.Entry.Revision, nil, true)
	is.NoErr(err)
	refused, err := client.CompareAndSwapIf(t.Context(), conditions, "state", written.Entry.Revision, []byte(`c`))
	is.NoErr(err)
	is.True(!refused.Swapped)
	is.Equal(string(refused.Entry.Value), `a`)
	taken := []store.Condition{{Key: "order"}}
	written, err = client.CompareAndSwapIf(t.Context(), taken, "state", written.Entry.Revision, []byte(`d`))
	is.NoErr(err)
	is.True(written.Swapped) // a deleted key has revision 0
}

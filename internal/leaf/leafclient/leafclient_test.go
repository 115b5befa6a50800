package leafclient

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
)

// countingLeaf counts the attempts that it runs.
type countingLeaf struct {
	leafv1.UnimplementedLeafServiceServer
	ran chan struct{}
}

func (l *countingLeaf) SearchShard(_ context.Context, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error) {
	l.ran <- struct{}{}
	return &leafv1.SearchShardResponse{Identity: request.GetIdentity()}, nil
}

func serveLeaf(t *testing.T, listener net.Listener) *countingLeaf {
	t.Helper()
	leaf := &countingLeaf{ran: make(chan struct{}, 100)}
	server := grpc.NewServer()
	leafv1.RegisterLeafServiceServer(server, leaf)
	go func() {
		if err := server.Serve(listener); err != nil {
			return
		}
	}()
	t.Cleanup(server.Stop)
	return leaf
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func TestRefusedConnectionIsNeverSent(t *testing.T) {
	is := is.New(t)
	listener := listen(t)
	is.NoErr(listener.Close())
	pool := New(DefaultConfig())
	defer pool.Close()
	_, err := pool.SearchShard(t.Context(), listener.Addr().String(), &leafv1.SearchShardRequest{})
	var neverSent *NeverSentError
	is.True(errors.As(err, &neverSent))
}

// cuttingListener returns connections that close after the given number of bytes was read from them.
type cuttingListener struct {
	net.Listener
	after int
}

func (l *cuttingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cuttingConnection{Conn: connection, remaining: l.after}, nil
}

type cuttingConnection struct {
	net.Conn
	remaining int
}

func (c *cuttingConnection) Read(buffer []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errors.Join(net.ErrClosed, c.Close())
	}
	size, err := c.Conn.Read(buffer[:min(len(buffer), c.remaining)])
	c.remaining -= size
	return size, err
}

// If the connection is lost at any byte of the request, an attempt that reached the leaf is not reported as never sent
// and does not run twice.
func TestAttemptThatReachedLeafIsNotReportedNeverSent(t *testing.T) {
	const longest = 420
	for after := 0; after < longest; after += 7 {
		listener := listen(t)
		leaf := serveLeaf(t, &cuttingListener{Listener: listener, after: after})
		pool := New(DefaultConfig())
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		_, err := pool.SearchShard(ctx, listener.Addr().String(), &leafv1.SearchShardRequest{Identity: &leafv1.AttemptIdentity{RequestId: "request"}})
		cancel()
		pool.Close()
		var neverSent *NeverSentError
		if errors.As(err, &neverSent) && len(leaf.ran) > 0 {
			t.Fatalf("cut after %d bytes: the leaf ran an attempt that was reported as never sent: %v", after, err)
		}
		if len(leaf.ran) > 1 {
			t.Fatalf("cut after %d bytes: the attempt ran %d times", after, len(leaf.ran))
		}
	}
}

func TestConnectionsStayWithinMaximum(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaximumConnections = 2
	pool := New(cfg)
	defer pool.Close()
	for range 4 {
		listener := listen(t)
		serveLeaf(t, listener)
		_, err := pool.SearchShard(t.Context(), listener.Addr().String(), &leafv1.SearchShardRequest{})
		is.NoErr(err)
	}
	is.Equal(len(pool.connections), 2)
}

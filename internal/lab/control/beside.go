package control

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

// ServeBeside serves gRPC at one address and control calls at another until the context is done. It then calls stop,
// which must stop the gRPC server.
func ServeBeside(ctx context.Context, server *grpc.Server, address, controlAddress string, handler http.Handler, stop func()) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error { return Serve(ctx, controlAddress, handler) })
	<-ctx.Done()
	stop()
	return group.Wait()
}

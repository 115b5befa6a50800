package leaf

import (
	"context"
	"net"
	"net/http"

	"github.com/gin-gonic/gin"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	"github.com/portgauge/portgauge/internal/lab/control"
)

// Serve serves the leaf protocol, and on a second address the control calls of experiments,
// until the context ends; attempts in flight are finished.
func (l *Leaf) Serve(ctx context.Context, address, controlAddress string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := grpc.NewServer()
	leafv1.RegisterLeafServiceServer(server, l)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error { return control.Serve(ctx, controlAddress, l.controlHandler()) })
	<-ctx.Done()
	server.GracefulStop()
	return group.Wait()
}

func (l *Leaf) controlHandler() http.Handler {
	router := control.NewRouter()
	router.PUT("/faults", func(c *gin.Context) {
		var faults Faults
		if !control.Read(c, &faults) {
			return
		}
		if err := l.SetFaults(faults); err != nil {
			control.Refuse(c, err)
			return
		}
		c.Status(http.StatusNoContent)
	})
	router.GET("/executions", func(c *gin.Context) { c.JSON(http.StatusOK, l.Executions()) })
	return router
}

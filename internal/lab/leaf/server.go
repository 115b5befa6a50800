package leaf

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
	"google.golang.org/grpc"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	"github.com/portgauge/portgauge/internal/lab/control"
)

// Serve serves the leaf protocol, and control calls at a second address, until the context is done. It finishes the
// attempts in flight before it returns.
func (l *Leaf) Serve(ctx context.Context, address, controlAddress string) error {
	server := grpc.NewServer()
	leafv1.RegisterLeafServiceServer(server, l)
	return control.ServeBeside(ctx, server, address, controlAddress, l.controlHandler(), server.GracefulStop)
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
	return router
}

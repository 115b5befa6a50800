package platform

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
	"google.golang.org/grpc"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
	"github.com/portgauge/portgauge/internal/lab/control"
)

// Serve serves the platform protocol, and control calls at a second address, until the context is done.
func (p *Platform) Serve(ctx context.Context, address, controlAddress string) error {
	server := grpc.NewServer()
	platformv1.RegisterStoreServiceServer(server, p)
	platformv1.RegisterMachineListServiceServer(server, p)
	return control.ServeBeside(ctx, server, address, controlAddress, p.controlHandler(), server.Stop)
}

func (p *Platform) controlHandler() http.Handler {
	router := control.NewRouter()
	router.PUT("/faults", func(c *gin.Context) {
		var faults Faults
		if control.Read(c, &faults) {
			p.SetFaults(faults)
			c.Status(http.StatusNoContent)
		}
	})
	router.PUT("/machines", func(c *gin.Context) {
		var machines []*platformv1.Machine
		if control.Read(c, &machines) {
			p.SetMachines(machines)
			c.Status(http.StatusNoContent)
		}
	})
	router.GET("/writes", func(c *gin.Context) { c.JSON(http.StatusOK, p.Writes()) })
	router.GET("/counts", func(c *gin.Context) { c.JSON(http.StatusOK, p.Counts()) })
	return router
}

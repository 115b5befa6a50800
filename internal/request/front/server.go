// Package front serves callers that speak plain HTTP/1.1, by the routing table.
//
// It turns a request into one of the gateway and the answer or failure back into HTTP, keeps the
// limits that operators set, and tells whoever sends connections here whether to go on.
package front

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/httpnames"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// Backend answers requests; *gateway.Gateway is the real one.
type Backend interface {
	Serve(ctx context.Context, request *gateway.Request) (*gateway.Answer, error)
	Ready() bool
	Limits() routing.Limits
}

// headerReserve is how many bytes beyond the operators' limit a header may have before the
// library cuts it off; below that the limit is enforced here, with a typed failure.
const headerReserve = 1 << 20

// Server serves callers; create it with NewServer.
type Server struct {
	backend Backend
	dialect httpnames.Names
	logger  *zap.Logger
	guard   *connectionGuard
	http    *http.Server
	// giveUp ends the work on requests that run, so that they get a final answer.
	giveUp context.CancelFunc
	// leaving is set from the announcement of a planned stop on.
	leaving atomic.Bool
}

// NewServer makes a server that does not listen yet.
func NewServer(backend Backend, dialect httpnames.Names, logger *zap.Logger) *Server {
	server := &Server{backend: backend, dialect: dialect, logger: logger, guard: newConnectionGuard(backend.Limits)}
	router := newRouter()
	router.RedirectTrailingSlash = false
	router.NoRoute(func(c *gin.Context) { server.serve(c.Writer, c.Request) })
	requests, giveUp := context.WithCancel(context.Background())
	server.giveUp = giveUp
	server.http = &http.Server{
		BaseContext:                  func(net.Listener) context.Context { return requests },
		Handler:                      router,
		MaxHeaderBytes:               headerReserve,
		ConnState:                    server.guard.changed,
		ConnContext:                  withCaller,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(io.Discard, "", 0),
	}
	return server
}

// newRouter makes a router that writes nothing to the output, which belongs to the logs.
func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}

// ReadinessHandler answers 200 while the node wants new connections, else 503.
func (s *Server) ReadinessHandler() http.Handler {
	router := newRouter()
	router.GET(s.dialect.ReadinessPath, func(c *gin.Context) {
		if s.Ready() {
			c.Status(http.StatusOK)
			return
		}
		c.Status(http.StatusServiceUnavailable)
	})
	return router
}

// Ready reports whether callers should open connections here.
func (s *Server) Ready() bool { return s.backend.Ready() && !s.leaving.Load() }

// Serve serves connections of a listener until the server is shut down.
func (s *Server) Serve(listener net.Listener) {
	err := s.http.Serve(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("front server ended", zap.Error(err))
	}
}

// Announce begins a planned stop: the node is not ready any more, and answers ask callers to
// close their connections, but requests are still served.
func (s *Server) Announce() { s.leaving.Store(true) }

// answerReserve is how long before the end of a planned stop requests that still run are given
// up, so that their callers get a final answer instead of a closed connection.
const answerReserve = 200 * time.Millisecond

// Shutdown closes the listener and resting connections and waits for requests in flight. Those
// that run nearly until the context ends are given up; then it closes what is left.
func (s *Server) Shutdown(ctx context.Context) error {
	if deadline, bounded := ctx.Deadline(); bounded {
		timer := time.AfterFunc(time.Until(deadline)-answerReserve, s.giveUp)
		defer timer.Stop()
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}

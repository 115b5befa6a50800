// Package front is the HTTP/1.1 server for callers.
//
// It converts a request to a gateway.Request, and the gateway's answer or failure to HTTP; it enforces the limits that
// operators set on headers, bodies and connections, and answers the readiness check of load balancers. It owns the
// callers' connections with a timer for each, and runs the handlers of http.Server, a goroutine for each connection. It
// relies on a Backend, the gateway, for answers, limits and readiness, and on package roundtrip for network times. Its
// failures have a JSON body and, if the request may be sent again, a Retry-After in seconds.
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

// Backend answers requests; *gateway.Gateway implements it.
type Backend interface {
	Serve(ctx context.Context, request *gateway.Request) (*gateway.Answer, error)
	Ready() bool
	Limits() routing.Limits
}

// hardHeaderLimit is the size in bytes beyond which net/http refuses a header by itself. Below it, Server.read enforces
// the operators' limit, with a typed failure.
const hardHeaderLimit = 1 << 20

// Server serves callers; create it with NewServer.
type Server struct {
	backend  Backend
	names    httpnames.Names
	logger   *zap.Logger
	timeouts *connectionTimeouts
	http     *http.Server
	// giveUp cancels the requests in flight, so that their callers get an answer.
	giveUp context.CancelFunc
	// leaving is set when a planned stop is announced.
	leaving atomic.Bool
}

// NewServer returns a server that does not listen yet.
func NewServer(backend Backend, names httpnames.Names, logger *zap.Logger) *Server {
	server := &Server{backend: backend, names: names, logger: logger, timeouts: newConnectionTimeouts(backend.Limits)}
	router := newRouter()
	router.RedirectTrailingSlash = false
	router.NoRoute(func(c *gin.Context) { server.serve(c.Writer, c.Request) })
	requests, giveUp := context.WithCancel(context.Background())
	server.giveUp = giveUp
	server.http = &http.Server{
		BaseContext:                  func(net.Listener) context.Context { return requests },
		Handler:                      router,
		MaxHeaderBytes:               hardHeaderLimit,
		ConnState:                    server.timeouts.stateChanged,
		ConnContext:                  withConnection,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(io.Discard, "", 0),
	}
	return server
}

// newRouter returns a router that writes nothing to standard output, which is for the logs.
func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}

// ReadinessHandler returns a handler that answers 200 while callers should connect to this node, and 503 otherwise.
func (s *Server) ReadinessHandler() http.Handler {
	router := newRouter()
	router.GET(s.names.ReadinessPath, func(c *gin.Context) {
		if s.Ready() {
			c.Status(http.StatusOK)
			return
		}
		c.Status(http.StatusServiceUnavailable)
	})
	return router
}

// Ready reports whether callers should connect to this node.
func (s *Server) Ready() bool { return s.backend.Ready() && !s.leaving.Load() }

// Serve serves connections of a listener until the server is shut down.
func (s *Server) Serve(listener net.Listener) {
	err := s.http.Serve(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("front server ended", zap.Error(err))
	}
}

// PrepareStop begins a planned stop: the node is no longer ready, and its answers ask callers to close their connections,
// but requests are still served.
func (s *Server) PrepareStop() { s.leaving.Store(true) }

// answerReserve is how long before the end of a planned stop the requests in flight are given up, so that their callers
// get an answer instead of a closed connection.
const answerReserve = 200 * time.Millisecond

// Shutdown closes the listener and idle connections, and waits for the requests in flight. It gives them up shortly
// before the context ends, and then closes the connections that are left.
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

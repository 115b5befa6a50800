// Package front is the HTTP/1.1 server for callers.
//
// It converts an HTTP request to a gateway.Request, and the gateway's answer or failure to an HTTP response. It
// enforces the operators' limits on headers, bodies and connections, and answers the readiness check of load balancers.
// It owns the callers' connections, each with a timer and the goroutine that http.Server starts for it. It uses a
// Backend, the gateway, for answers, limits and readiness, and package roundtrip for round-trip times. Failures have a
// JSON body and, if the request may be retried, a Retry-After header in seconds.
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

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/httpnames"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// Backend serves requests; *gateway.Gateway implements it.
type Backend interface {
	Serve(ctx context.Context, request *gateway.Request) (*gateway.Answer, error)
	Ready() bool
	Limits() routing.Limits
}

// hardHeaderLimit is the header size in bytes above which net/http itself refuses a request. Below it, Server.read
// enforces the operators' limit and returns a typed failure.
const hardHeaderLimit = 1 << 20

// answerWriteTimeout is the default of Server.writeTimeout. It exceeds the timeouts of routes.
const answerWriteTimeout = 30 * time.Second

// Server is the HTTP server for callers; create it with NewServer.
type Server struct {
	backend  Backend
	names    httpnames.Names
	logger   *zap.Logger
	timeouts *connectionTimeouts
	// memory bounds what callers make the node hold; nil if it is unlimited.
	memory *memorybudget.Budget
	// writeTimeout is how long a caller may take to read a large answer.
	writeTimeout time.Duration
	http         *http.Server
	// cancelRequests cancels the requests in flight, so that they are answered with a failure.
	cancelRequests context.CancelFunc
	// isStopping is set when a planned stop begins.
	isStopping atomic.Bool
}

// NewServer returns a server that accepts no connections until Serve is called.
func NewServer(backend Backend, names httpnames.Names, logger *zap.Logger) *Server {
	server := &Server{backend: backend, names: names, logger: logger, timeouts: newConnectionTimeouts(backend.Limits), writeTimeout: answerWriteTimeout}
	router := newRouter()
	router.RedirectTrailingSlash = false
	router.NoRoute(func(c *gin.Context) { server.serve(c.Writer, c.Request) })
	requests, cancelRequests := context.WithCancel(context.Background())
	server.cancelRequests = cancelRequests
	server.http = &http.Server{
		BaseContext:                  func(net.Listener) context.Context { return requests },
		Handler:                      router,
		MaxHeaderBytes:               hardHeaderLimit,
		ConnState:                    server.connectionChanged,
		ConnContext:                  withConnection,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(io.Discard, "", 0),
	}
	return server
}

// SetMemory sets the budget for the requests of callers. It must be called before Serve.
func (s *Server) SetMemory(memory *memorybudget.Budget) { s.memory = memory }

// connectionChanged is the ConnState hook of the HTTP server.
func (s *Server) connectionChanged(connection net.Conn, state http.ConnState) {
	s.timeouts.stateChanged(connection, state)
	socket, isSocket := connection.(*callerSocket)
	if !isSocket {
		return
	}
	switch state {
	case http.StateActive: // the head of a request has been read
		socket.heads.End()
	case http.StateIdle:
		socket.awaitRequest()
	case http.StateClosed, http.StateHijacked:
		socket.ended()
	case http.StateNew:
	}
}

// newRouter returns a router that doesn't write to standard output, which is reserved for the logs.
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
func (s *Server) Ready() bool { return s.backend.Ready() && !s.isStopping.Load() }

// Serve accepts and serves connections until the server is shut down.
func (s *Server) Serve(listener net.Listener) {
	err := s.http.Serve(&callerListener{Listener: listener, memory: s.memory})
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("the HTTP server for callers failed; it accepts no more connections", zap.Error(err))
	}
}

// PrepareStop begins a planned stop: the node is no longer ready and its answers have the header Connection: close, but
// requests are still served.
func (s *Server) PrepareStop() { s.isStopping.Store(true) }

// answerReserve is the time before the deadline of Shutdown at which the requests in flight are cancelled, so that
// their callers get an answer instead of a closed connection.
const answerReserve = 200 * time.Millisecond

// Shutdown closes the listener and the idle connections, and waits for the requests in flight. It cancels them
// answerReserve before the context's deadline, and closes the remaining connections when the context is done.
func (s *Server) Shutdown(ctx context.Context) error {
	if deadline, bounded := ctx.Deadline(); bounded {
		timer := time.AfterFunc(time.Until(deadline)-answerReserve, s.cancelRequests)
		defer timer.Stop()
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}

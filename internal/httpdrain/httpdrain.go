// Package httpdrain drains the open connections of an HTTP server before it shuts down.
//
// http.Server.Shutdown closes idle connections immediately. If a request is read after that, net/http closes its connection
// without a response, and an HTTP/1.1 client can't tell whether the request ran. A Server therefore first closes only its
// listener and adds Connection: close to its responses. It calls http.Server.Shutdown once all connections are closed, no
// request has arrived for a quiet period, or a timeout has passed.
//
// A Server owns its http.Server and its listener. It starts no goroutines of its own.
package httpdrain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/wait"
)

// pollInterval is how often a server that is shutting down checks its connections.
const pollInterval = 10 * time.Millisecond

// Config configures connection draining.
type Config struct {
	// QuietPeriod is the time without a new request after which a shutdown closes the open connections.
	QuietPeriod time.Duration
	// DrainTimeout is the maximum time that a shutdown waits for its connections to close or for the quiet period.
	DrainTimeout time.Duration
}

// DefaultConfig returns settings for clients that send many requests per second on each connection.
func DefaultConfig() Config {
	return Config{QuietPeriod: 200 * time.Millisecond, DrainTimeout: 2 * time.Second}
}

// Server is an http.Server that drains its connections before it shuts down. It is safe for concurrent use.
type Server struct {
	cfg             Config
	httpServer      *http.Server
	isShuttingDown  atomic.Bool
	openConnections atomic.Int64
	createdAt       time.Time
	lastRequestAt   atomic.Int64 // nanoseconds since createdAt on the monotonic clock

	mu       sync.Mutex
	listener *closeOnceListener // nil before Serve
}

// New returns a Server that wraps server. It replaces the Handler, which must not be nil, and the ConnState hook of server
// with wrappers that call the original ones.
func New(cfg Config, server *http.Server) *Server {
	s := &Server{cfg: cfg, httpServer: server, createdAt: time.Now()}
	server.Handler = s.withConnectionClose(server.Handler)
	server.ConnState = s.countConnections(server.ConnState)
	return s
}

// withConnectionClose returns a handler that records the arrival time of each request and, during a shutdown, adds
// Connection: close to the response. On HTTP/2, net/http then closes the connection after the requests in flight.
func (s *Server) withConnectionClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.lastRequestAt.Store(int64(time.Since(s.createdAt)))
		if s.isShuttingDown.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// countConnections returns a ConnState hook that counts the open connections and calls next, which may be nil.
func (s *Server) countConnections(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			s.openConnections.Add(1)
		case http.StateClosed, http.StateHijacked:
			s.openConnections.Add(-1)
		}
		if next != nil {
			next(conn, state)
		}
	}
}

// Serve accepts connections on the listener until the server is shut down or closed, or fails. It returns nil after Shutdown or
// Close.
func (s *Server) Serve(listener net.Listener) error {
	closeOnce := &closeOnceListener{Listener: listener}
	s.mu.Lock()
	s.listener = closeOnce
	s.mu.Unlock()
	err := s.httpServer.Serve(closeOnce)
	if errors.Is(err, http.ErrServerClosed) || s.isShuttingDown.Load() {
		return nil
	}
	return err
}

// Shutdown closes the listener, drains the open connections while their requests are still served, and then calls
// http.Server.Shutdown, which waits for the requests in flight until the context is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.isShuttingDown.Store(true)
	closeErr := s.closeListener()
	s.drainConnections(ctx)
	return errors.Join(closeErr, s.httpServer.Shutdown(ctx))
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.httpServer.Close() }

func (s *Server) closeListener() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
}

// drainConnections waits until all connections are closed, no request has arrived for Config.QuietPeriod,
// Config.DrainTimeout has passed, or the context is done.
func (s *Server) drainConnections(ctx context.Context) {
	shutdownStart := time.Now()
	for s.hasActiveConnections(shutdownStart) && time.Since(shutdownStart) < s.cfg.DrainTimeout && wait.For(ctx, pollInterval) {
	}
}

// hasActiveConnections reports whether connections are open and the last request, or the start of the shutdown, was less
// than Config.QuietPeriod ago.
func (s *Server) hasActiveConnections(shutdownStart time.Time) bool {
	lastActivity := s.createdAt.Add(time.Duration(s.lastRequestAt.Load()))
	if shutdownStart.After(lastActivity) {
		lastActivity = shutdownStart
	}
	return s.openConnections.Load() > 0 && time.Since(lastActivity) < s.cfg.QuietPeriod
}

// closeOnceListener closes its listener only once: Server and http.Server both close it, and a second close fails.
type closeOnceListener struct {
	net.Listener
	once sync.Once
	err  error
}

func (l *closeOnceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

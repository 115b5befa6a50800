package servingtree

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// Handler gathers groups; gateway.Gateway implements it.
type Handler interface {
	// Gather handles a request and returns the reply. The context is cancelled when the root no longer waits for it.
	// Gather may call send once, with the parts that have arrived; the reply then has the remaining parts.
	Gather(ctx context.Context, request Request, send func(Answer)) Reply
}

// Server receives the requests of roots; create it with NewServer.
type Server struct {
	cfg     Config
	handler Handler
	memory  *memorybudget.Budget // nil if it is unlimited

	mu       sync.Mutex
	listener net.Listener
	conns    map[*lineConn]bool
	stopping bool
	running  sync.WaitGroup
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg Config, handler Handler) *Server {
	return &Server{cfg: cfg, handler: handler, conns: map[*lineConn]bool{}}
}

// SetMemory sets the budget for the requests of roots. It must be called before Serve.
func (s *Server) SetMemory(memory *memorybudget.Budget) { s.memory = memory }

// Serve accepts the connections of a listener until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go s.serve(newLineConn(s.cfg, socket, s.memory))
	}
}

// DeclineNew makes the server decline all further requests, for a planned stop.
func (s *Server) DeclineNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Shutdown declines further requests, waits until the requests in flight end or the context is done, and closes the
// listener and all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DeclineNew()
	ended := make(chan struct{})
	go func() {
		s.running.Wait()
		close(ended)
	}()
	var err error
	select {
	case <-ended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		err = errors.Join(err, s.listener.Close())
	}
	for conn := range s.conns {
		conn.close()
	}
	return err
}

// serve handles one connection. When the connection ends, its requests in flight are cancelled.
func (s *Server) serve(conn *lineConn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	served := &servedConnection{server: s, conn: conn, cancels: map[uint64]context.CancelFunc{}}
	defer func() {
		conn.close()
		conn.ended()
		served.cancelAll()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	for {
		reservation := conn.account.Reserve()
		l, err := conn.read(&reservation)
		if err != nil {
			reservation.Release()
			return
		}
		served.receive(l, &reservation)
	}
}

// begin counts a request as running. It returns false if the server is stopping.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.running.Add(1)
	return true
}

// servedConnection is the connection of a root and its requests in flight.
type servedConnection struct {
	server *Server
	conn   *lineConn

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // by request number
}

// receive handles a line from the root and takes over its reservation.
func (c *servedConnection) receive(l line, reservation *memorybudget.Reservation) {
	if l.Request == nil {
		reservation.Release()
	}
	switch {
	case l.Request != nil:
		held := &memorybudget.Hold{}
		held.Keep(reservation)
		c.start(l.Number, *l.Request, held)
	case l.Cancel:
		c.cancel(l.Number)
	case l.Probe && c.isRunning(l.Number):
		c.send(line{Number: l.Number, Accepted: true})
	}
}

// start starts a request or declines it. It releases what is held for the request at its end.
func (c *servedConnection) start(number uint64, request Request, held *memorybudget.Hold) {
	if !c.server.begin() {
		held.Release()
		c.send(line{Number: number, Reply: &Reply{Decline: Stopping}})
		return
	}
	ctx, isAdded := c.add(number)
	if !isAdded {
		held.Release()
		c.server.running.Done()
		c.send(line{Number: number, Reply: &Reply{Decline: Busy}})
		return
	}
	go c.gather(ctx, number, request, held)
}

// add registers a request and returns its context. It returns false if the connection has the maximum number of requests
// in flight.
func (c *servedConnection) add(number uint64) (context.Context, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cancels) >= c.server.cfg.MaximumRequests {
		return nil, false
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancels[number] = cancel
	return ctx, true
}

// gather handles a request and sends the reply unless the request was cancelled.
func (c *servedConnection) gather(ctx context.Context, number uint64, request Request, held *memorybudget.Hold) {
	defer c.server.running.Done()
	defer held.Release()
	began := time.Now()
	c.send(line{Number: number, Accepted: true})
	reply := c.server.handler.Gather(ctx, request, func(answer Answer) {
		c.send(line{Number: number, Reply: &Reply{Answer: &answer, Partial: true}})
	})
	isAwaited := ctx.Err() == nil
	c.cancel(number)
	if isAwaited {
		reply.TookMicros = time.Since(began).Microseconds()
		c.send(line{Number: number, Reply: &reply})
	}
}

// send writes a line. If that fails, it closes the connection, so that the root's calls end with a *BrokenError.
func (c *servedConnection) send(l line) {
	if err := c.conn.write(l); err != nil {
		c.conn.close()
	}
}

func (c *servedConnection) isRunning(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancels[number] != nil
}

// cancel cancels a request if it is in flight.
func (c *servedConnection) cancel(number uint64) {
	c.mu.Lock()
	cancel := c.cancels[number]
	delete(c.cancels, number)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *servedConnection) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
	clear(c.cancels)
}

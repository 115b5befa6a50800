package servingtree

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// Client sends requests to intermediates over one connection to each. It is safe for concurrent use.
type Client struct {
	cfg    Config
	memory *memorybudget.Budget // nil if it is unlimited

	mu       sync.Mutex
	sessions map[string]*session // by address
	closed   bool
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, sessions: map[string]*session{}}
}

// SetMemory sets the budget for the replies of intermediates. It must be called before the client is used.
func (c *Client) SetMemory(memory *memorybudget.Budget) { c.memory = memory }

// Start sends a request to the intermediate with the given address. It does not wait for the connection.
func (c *Client) Start(address string, request Request) *Call {
	call := newCall(request)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		call.done <- Result{Err: &NeverSentError{Cause: &ClosedError{}}}
		return call
	}
	s, found := c.sessions[address]
	if !found {
		s = &session{client: c, address: address, calls: map[uint64]*Call{}}
		s.receivedAt.Store(time.Now().UnixNano())
		c.sessions[address] = s
		go s.run()
	}
	c.mu.Unlock()
	call.session = s
	s.start(call)
	return call
}

// DropSilent closes the connection to an address if nothing was received on it for the given time. Its calls end with
// the cause.
func (c *Client) DropSilent(address string, silence time.Duration, cause error) {
	c.mu.Lock()
	s, found := c.sessions[address]
	c.mu.Unlock()
	if found && time.Since(time.Unix(0, s.receivedAt.Load())) >= silence {
		s.end(cause)
	}
}

// Close closes all connections. Calls that are started later end with a *NeverSentError.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	sessions := make([]*session, 0, len(c.sessions))
	for _, s := range c.sessions {
		sessions = append(sessions, s)
	}
	c.mu.Unlock()
	for _, s := range sessions {
		s.end(&ClosedError{})
	}
}

// removeSession removes a session that has ended.
func (c *Client) removeSession(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[s.address] == s {
		delete(c.sessions, s.address)
	}
}

package servingtree

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/request/roundtrip"
)

// Client asks intermediates; safe for concurrent use.
type Client struct {
	cfg Config

	mu       sync.Mutex
	sessions map[string]*session // by address
	closed   bool
}

// NewClient makes a client without connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, sessions: map[string]*session{}}
}

// Result is how a call ended: a reply, or a *NeverSentError or *BrokenError.
type Result struct {
	Reply Reply
	Err   error
}

// Call is one request at one intermediate.
type Call struct {
	session *session
	number  uint64
	ask     *Request
	began   time.Time
	// waited is how long the request waited for its connection, in nanoseconds.
	waited atomic.Int64
	signs  chan struct{}
	parts  chan Answer
	done   chan Result

	// The rest is guarded by the session's mutex.

	progress  progress
	isGivenUp bool // while its line was being written
}

// progress is how far a call's line is.
type progress int

const (
	waiting progress = iota // for its connection: nothing was sent
	writing
	written
)

func newCall(ask Request) *Call {
	return &Call{ask: &ask, began: time.Now(), signs: make(chan struct{}, 1), parts: make(chan Answer, 1), done: make(chan Result, 1)}
}

// Acks gives a value when the intermediate has shown that it is at work on the request.
func (c *Call) Acks() <-chan struct{} { return c.signs }

// Parts gives the parts that are in before the end, once at most.
func (c *Call) Partial() <-chan Answer { return c.parts }

// Done gives the result, once.
func (c *Call) Done() <-chan Result { return c.done }

// Waited gives how long the request waited for its connection; 0 until it was sent.
func (c *Call) Waited() time.Duration { return time.Duration(c.waited.Load()) }

// Probe asks the intermediate for a sign. It does not block for long.
func (c *Call) Probe() {
	if c.session != nil {
		c.session.send(line{Number: c.number, Probe: true})
	}
}

// Cancel ends a call whose reply nobody waits for. It reports whether the request may have reached the
// intermediate: false is a promise that it has not and never will.
func (c *Call) Cancel() bool {
	if c.session == nil {
		return false
	}
	reached, isUnderWay := c.session.giveUp(c)
	if isUnderWay && reached == written {
		c.session.send(line{Number: c.number, Cancel: true})
	}
	return reached != waiting
}

// Start asks the intermediate at an address. It does not wait for the connection.
func (c *Client) Start(address string, ask Request) *Call {
	call := newCall(ask)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		call.done <- Result{Err: &NeverSentError{Cause: &ClosedError{}}}
		return call
	}
	s, found := c.sessions[address]
	if !found {
		s = &session{client: c, address: address, calls: map[uint64]*Call{}}
		s.heardAt.Store(time.Now().UnixNano())
		c.sessions[address] = s
		go s.run()
	}
	c.mu.Unlock()
	call.session = s
	s.start(call)
	return call
}

// DropSilent closes the connection to an address if nothing came from there for so long; its calls
// end.
func (c *Client) DropSilent(address string, silence time.Duration, cause error) {
	c.mu.Lock()
	s, found := c.sessions[address]
	c.mu.Unlock()
	if found && time.Since(time.Unix(0, s.heardAt.Load())) >= silence {
		s.end(cause)
	}
}

// Close closes every connection.
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

// forget removes a session that ended.
func (c *Client) forget(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[s.address] == s {
		delete(c.sessions, s.address)
	}
}

// session is one connection to an intermediate with the calls on it.
type session struct {
	client  *Client
	address string

	mu    sync.Mutex
	wire  *wire // nil while the connection is being opened
	ended error // why the session ended; nil while it has not
	next  uint64
	calls map[uint64]*Call
	// stopDial ends the opening of the connection.
	stopDial context.CancelFunc

	// heardAt is when a line last came, or else the connection was begun, in unix nanoseconds.
	heardAt atomic.Int64
}

// start sends a call, or keeps it until the connection is open.
func (s *session) start(call *Call) {
	s.mu.Lock()
	var refusal error
	switch {
	case s.ended != nil:
		refusal = s.ended
	case len(s.calls) >= s.client.cfg.MaximumRequests:
		refusal = &FullError{Limit: s.client.cfg.MaximumRequests}
	}
	if refusal != nil {
		s.mu.Unlock()
		call.done <- Result{Err: &NeverSentError{Cause: refusal}}
		return
	}
	s.next++
	call.number = s.next
	s.calls[call.number] = call
	open := s.wire
	s.mu.Unlock()
	if open != nil {
		s.sendAsk(open, call)
	}
}

// sendAsk writes a call's request, unless the call is over: whether it is, and that it is sent, are one step, so that a
// call that was given up as never sent is not sent later, when its connection is there. One that can't be written whole may
// have arrived. What it waited for the connection is taken off its times, and so are the ways, where they take longer
// than was thought.
func (s *session) sendAsk(open *wire, call *Call) {
	if !s.beginWriting(call) {
		return
	}
	waited := time.Since(call.began)
	call.waited.Store(int64(waited))
	ask := call.ask.after(waited, roundtrip.Of(open.socket).High())
	err := open.write(line{Number: call.number, Request: &ask})
	isGivenUp := s.endWriting(call)
	if err != nil {
		if taken := s.take(call.number); taken != nil {
			taken.done <- Result{Err: &BrokenError{Cause: err}}
		}
		return
	}
	if isGivenUp {
		s.send(line{Number: call.number, Cancel: true})
	}
}

// beginWriting marks a call as being sent; false when it is over.
func (s *session) beginWriting(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[call.number] != call {
		return false
	}
	call.progress = writing
	return true
}

// endWriting marks a call as sent, and reports whether it was given up meanwhile.
func (s *session) endWriting(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.progress = written
	return call.isGivenUp
}

// giveUp removes a call, and gives how far its line was and whether the call was still under way. One that is being written
// is told as given up by its writer, behind its line.
func (s *session) giveUp(call *Call) (reached progress, isUnderWay bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isUnderWay = s.calls[call.number] == call
	if isUnderWay {
		delete(s.calls, call.number)
		call.isGivenUp = true
	}
	return call.progress, isUnderWay
}

// send writes a line of a call that was sent before; it is lost with the connection.
func (s *session) send(l line) {
	s.mu.Lock()
	open := s.wire
	s.mu.Unlock()
	if open == nil {
		return
	}
	if err := open.write(l); err != nil {
		s.end(err)
	}
}

// take removes a call, which is then the taker's to end; nil when it is gone.
func (s *session) take(number uint64) *Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.calls[number]
	delete(s.calls, number)
	return call
}

// find gives a call that is under way; nil when it is gone.
func (s *session) find(number uint64) *Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[number]
}

// run opens the connection and reads it to its end.
func (s *session) run() {
	ctx, cancel := context.WithTimeout(context.Background(), s.client.cfg.ConnectTimeout)
	defer cancel()
	s.mu.Lock()
	s.stopDial = cancel
	s.mu.Unlock()
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp4", s.address)
	if err != nil {
		s.end(err)
		return
	}
	open := newWire(s.client.cfg, socket)
	// The one who asks closes first, so that no request crosses the close.
	open.cfg.IdleTimeout /= 2
	if !s.opened(open) {
		open.close()
		return
	}
	for {
		l, err := open.read()
		if err != nil {
			s.end(err)
			return
		}
		s.receive(l)
	}
}

// opened sends the calls that waited for the connection; false when the session ended meanwhile.
func (s *session) opened(open *wire) bool {
	s.mu.Lock()
	if s.ended != nil {
		s.mu.Unlock()
		return false
	}
	s.wire = open
	held := make([]*Call, 0, len(s.calls))
	for _, call := range s.calls {
		held = append(held, call)
	}
	s.mu.Unlock()
	for _, call := range held {
		s.sendAsk(open, call)
	}
	return true
}

func (s *session) receive(l line) {
	s.heardAt.Store(time.Now().UnixNano())
	if l.Reply != nil && l.Reply.Partial {
		s.receivePart(l)
		return
	}
	if l.Reply != nil {
		if call := s.take(l.Number); call != nil {
			call.done <- Result{Reply: *l.Reply}
		}
		return
	}
	call := s.find(l.Number)
	if call == nil || !l.Accepted {
		return
	}
	select {
	case call.signs <- struct{}{}:
	default:
	}
}

// receivePart takes what is in of a reply before its end.
func (s *session) receivePart(l line) {
	call := s.find(l.Number)
	if call == nil || l.Reply.Answer == nil {
		return
	}
	select {
	case call.parts <- *l.Reply.Answer:
	default:
	}
}

// end closes the connection; calls on it may have run, unless it was never open. The first cause is
// the one that is told.
func (s *session) end(cause error) {
	s.mu.Lock()
	if s.ended == nil {
		s.ended = cause
	}
	cause = s.ended
	open := s.wire
	if s.stopDial != nil {
		s.stopDial()
	}
	calls := s.calls
	s.calls = map[uint64]*Call{}
	s.mu.Unlock()
	s.client.forget(s)
	var told error = &NeverSentError{Cause: cause}
	if open != nil {
		open.close()
		told = &BrokenError{Cause: cause}
	}
	for _, call := range calls {
		call.done <- Result{Err: told}
	}
}

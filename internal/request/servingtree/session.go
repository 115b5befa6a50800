package servingtree

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/request/roundtrip"
)

// session is a connection to an intermediate with its calls. It has one goroutine, which opens the connection and reads
// it; the lines of calls are written by the goroutines of their callers.
type session struct {
	client  *Client
	address string

	mu    sync.Mutex
	wire  *wire // nil while the connection is being opened
	ended error // why the session ended; nil while it has not
	next  uint64
	calls map[uint64]*Call
	// stopDial cancels the opening of the connection.
	stopDial context.CancelFunc

	// receivedAt is when a line was last received, or else the session began, in Unix nanoseconds.
	receivedAt atomic.Int64
}

// idleTimeoutDivisor makes the client close an idle connection first, in half of the time of the server, so that no
// request is sent on a connection that the server is closing.
const idleTimeoutDivisor = 2

// run opens the connection and reads it until it ends.
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
	open.cfg.IdleTimeout /= idleTimeoutDivisor
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

// opened sends the calls that waited for the connection; false if the session ended meanwhile.
func (s *session) opened(open *wire) bool {
	s.mu.Lock()
	if s.ended != nil {
		s.mu.Unlock()
		return false
	}
	s.wire = open
	pending := make([]*Call, 0, len(s.calls))
	for _, call := range s.calls {
		pending = append(pending, call)
	}
	s.mu.Unlock()
	for _, call := range pending {
		s.sendRequest(open, call)
	}
	return true
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
		s.sendRequest(open, call)
	}
}

// sendRequest writes the request of a call, unless the call has ended. Checking that and marking the call as being
// written are one step, so that a call that was given up as never sent is not sent when its connection opens. The times
// in the request are reduced by the wait for the connection and by an unexpectedly long round trip. A request that
// can't be written completely may have arrived.
func (s *session) sendRequest(open *wire, call *Call) {
	if !s.beginWriting(call) {
		return
	}
	waited := time.Since(call.began)
	call.waited.Store(int64(waited))
	request := call.request.sentAfter(waited, roundtrip.Of(open.socket).High())
	err := open.write(line{Number: call.number, Request: &request})
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

// beginWriting marks a call as being written; false if it has ended.
func (s *session) beginWriting(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[call.number] != call {
		return false
	}
	call.progress = writing
	return true
}

// endWriting marks a call as written, and reports whether it was given up meanwhile.
func (s *session) endWriting(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.progress = written
	return call.isGivenUp
}

// giveUp removes a call, and returns how far its line was and whether the call was in flight. If the line is being
// written, its writer cancels the request after it.
func (s *session) giveUp(call *Call) (reached progress, isInFlight bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isInFlight = s.calls[call.number] == call
	if isInFlight {
		delete(s.calls, call.number)
		call.isGivenUp = true
	}
	return call.progress, isInFlight
}

// send writes a line of a call whose request was sent. Without a connection there is nothing to do.
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

// receive handles a line from the intermediate.
func (s *session) receive(l line) {
	s.receivedAt.Store(time.Now().UnixNano())
	if l.Reply != nil && l.Reply.Partial {
		s.receivePartial(l)
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
	case call.acks <- struct{}{}:
	default:
	}
}

// receivePartial handles the parts that are sent before a reply is complete.
func (s *session) receivePartial(l line) {
	call := s.find(l.Number)
	if call == nil || l.Reply.Answer == nil {
		return
	}
	select {
	case call.partial <- *l.Reply.Answer:
	default:
	}
}

// take removes a call and returns it, for whoever took it to end; nil if it has ended.
func (s *session) take(number uint64) *Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.calls[number]
	delete(s.calls, number)
	return call
}

// find returns a call in flight; nil if it has ended.
func (s *session) find(number uint64) *Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[number]
}

// end closes the connection and ends its calls, with the first cause that it is called with. They may have run, unless
// the connection was never open.
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
	var reported error = &NeverSentError{Cause: cause}
	if open != nil {
		open.close()
		reported = &BrokenError{Cause: cause}
	}
	for _, call := range calls {
		call.done <- Result{Err: reported}
	}
}

package servingtree

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/roundtrip"
)

// session is a connection to an intermediate and its calls. One goroutine opens the connection and reads from it; the
// callers' goroutines write the lines of their calls.
type session struct {
	client  *Client
	address string

	mu       sync.Mutex
	conn     *lineConn // nil while the connection is being opened
	endCause error     // why the session ended; nil before that
	next     uint64
	calls    map[uint64]*Call
	// stopDial cancels the dial.
	stopDial context.CancelFunc

	// receivedAt is when the last line was received, in Unix nanoseconds; before that, when the session started.
	receivedAt atomic.Int64
}

// idleTimeoutDivisor reduces the client's idle timeout to half of the server's. The client then closes idle connections
// first, so that it sends no request on a connection that the server is closing.
const idleTimeoutDivisor = 2

// run opens the connection and reads lines from it until it ends.
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
	conn := newLineConn(s.client.cfg, socket, s.client.memory)
	defer conn.ended()
	conn.cfg.IdleTimeout /= idleTimeoutDivisor
	if !s.attach(conn) {
		conn.close()
		return
	}
	for {
		reservation := conn.account.Reserve()
		l, err := conn.read(&reservation)
		if err != nil {
			reservation.Release()
			s.end(err)
			return
		}
		s.receive(l, &reservation)
	}
}

// attach sets the opened connection and sends the requests of the calls that waited for it. It returns false if the
// session has ended.
func (s *session) attach(conn *lineConn) bool {
	s.mu.Lock()
	if s.endCause != nil {
		s.mu.Unlock()
		return false
	}
	s.conn = conn
	pending := make([]*Call, 0, len(s.calls))
	for _, call := range s.calls {
		pending = append(pending, call)
	}
	s.mu.Unlock()
	for _, call := range pending {
		s.sendRequest(conn, call)
	}
	return true
}

// start sends the request of a call, or queues the call until the connection is open.
func (s *session) start(call *Call) {
	s.mu.Lock()
	var refusal error
	switch {
	case s.endCause != nil:
		refusal = s.endCause
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
	conn := s.conn
	s.mu.Unlock()
	if conn != nil {
		s.sendRequest(conn, call)
	}
}

// sendRequest writes the request of a call unless the call has ended. The check and the change to the state writing are
// atomic, so that a call that was cancelled as never sent is not sent when the connection opens. The times sent are
// reduced by the wait for the connection and by an unexpectedly long round trip. If the write fails, the request may
// have arrived and the call ends with a *BrokenError, as it also does if the line is too long.
func (s *session) sendRequest(conn *lineConn, call *Call) {
	if !s.beginWriting(call) {
		return
	}
	waited := time.Since(call.began)
	call.waited.Store(int64(waited))
	request := call.request.adjustTimes(waited, roundtrip.Of(conn.socket).High())
	err := conn.write(line{Number: call.number, Request: &request})
	isCancelled := s.endWriting(call)
	if err != nil {
		if removed := s.removeCall(call.number); removed != nil {
			removed.done <- Result{Err: &BrokenError{Cause: err}}
		}
		return
	}
	if isCancelled {
		s.send(line{Number: call.number, Cancel: true})
	}
}

// beginWriting sets the state of a call to writing. It returns false if the call has ended.
func (s *session) beginWriting(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[call.number] != call {
		return false
	}
	call.progress = writing
	return true
}

// endWriting sets the state of a call to written and reports whether the call was cancelled.
func (s *session) endWriting(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.progress = written
	return call.isCancelled
}

// cancelCall removes a call and returns the state of its line and whether the call was in flight. If the line is being
// written, sendRequest sends the cancel line after it.
func (s *session) cancelCall(call *Call) (reached progress, isInFlight bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isInFlight = s.calls[call.number] == call
	if isInFlight {
		delete(s.calls, call.number)
		call.isCancelled = true
	}
	return call.progress, isInFlight
}

// send writes a probe or cancel line. It does nothing while there is no connection.
func (s *session) send(l line) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return
	}
	if err := conn.write(l); err != nil {
		s.end(err)
	}
}

// receive handles a line from the intermediate and takes over its reservation.
func (s *session) receive(l line, reservation *memorybudget.Reservation) {
	defer reservation.Release()
	s.receivedAt.Store(time.Now().UnixNano())
	if l.Reply != nil && l.Reply.Partial {
		s.receivePartial(l, reservation)
		return
	}
	if l.Reply != nil {
		if call := s.removeCall(l.Number); call != nil {
			call.request.Memory.Keep(reservation)
			call.done <- Result{Reply: *l.Reply}
		}
		return
	}
	call := s.findCall(l.Number)
	if call == nil || !l.Accepted {
		return
	}
	select {
	case call.acks <- struct{}{}:
	default:
	}
}

// receivePartial handles a partial reply.
func (s *session) receivePartial(l line, reservation *memorybudget.Reservation) {
	call := s.findCall(l.Number)
	if call == nil || l.Reply.Answer == nil {
		return
	}
	call.request.Memory.Keep(reservation)
	select {
	case call.partial <- *l.Reply.Answer:
	default:
	}
}

// removeCall removes a call and returns it; nil if the call has ended. The caller must send the result of the call.
func (s *session) removeCall(number uint64) *Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.calls[number]
	delete(s.calls, number)
	return call
}

// findCall returns a call in flight; nil if the call has ended.
func (s *session) findCall(number uint64) *Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[number]
}

// end closes the connection and ends its calls with the first cause that end was called with. The calls may have run
// unless the connection was never opened.
func (s *session) end(cause error) {
	s.mu.Lock()
	if s.endCause == nil {
		s.endCause = cause
	}
	cause = s.endCause
	conn := s.conn
	if s.stopDial != nil {
		s.stopDial()
	}
	calls := s.calls
	s.calls = map[uint64]*Call{}
	s.mu.Unlock()
	s.client.removeSession(s)
	var reported error = &NeverSentError{Cause: cause}
	if conn != nil {
		conn.close()
		reported = &BrokenError{Cause: cause}
	}
	for _, call := range calls {
		call.done <- Result{Err: reported}
	}
}

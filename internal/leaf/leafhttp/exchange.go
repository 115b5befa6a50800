package leafhttp

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// Done is called once at the end of an attempt, with an answer, a *NeverSentError or a *BrokenAnswerError. It must not
// block.
type Done func(response *Response, err error)

// exchange is one attempt at one leaf: a request and its answer.
type exchange struct {
	pool     *Pool
	target   Target
	request  *Request
	deadline time.Time
	done     Done

	// The fields below are guarded by the pool's mu.

	// conn is the connection of the exchange; nil while the exchange waits for one and after its end.
	conn      *connection
	ended     bool
	finished  bool // the answer is complete, and done will be called with it
	lingering bool // the attempt was cancelled with ErrSuperseded, and its answer is still awaited
	// stopDial cancels the opening of the connection; nil unless one is being opened.
	stopDial context.CancelFunc
}

// Start starts an attempt on an idle connection, on a new one, or on the next one that another attempt releases. It
// does not block, and done may be called before it returns. The returned function cancels the attempt. It closes the
// connection, unless the cause is ErrSuperseded; see exchange.Cancel.
func (p *Pool) Start(target Target, request *Request, deadline time.Time, done Done) context.CancelCauseFunc {
	e := &exchange{pool: p, target: target, request: request, deadline: deadline, done: done}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		e.end(nil, &NeverSentError{Cause: errClosed})
		return e.Cancel
	}
	conn, mayOpen := p.reserve(e)
	p.mu.Unlock()
	switch {
	case conn != nil:
		conn.begin(e)
	case mayOpen:
		go e.open()
	}
	return e.Cancel
}

// Cancel ends an attempt whose answer is no longer needed. The connection is closed immediately, unless the cause is
// ErrSuperseded: the answer is then awaited for Config.LingerTimeout, so that the connection can be reused.
func (e *exchange) Cancel(cause error) {
	p := e.pool
	p.mu.Lock()
	if e.ended || e.finished {
		p.mu.Unlock()
		return
	}
	conn := e.conn
	if conn == nil {
		// Removing the exchange from the queue and marking it as ended must be one critical section. Otherwise, a
		// connection that opens in between could send the request.
		p.stopWaiting(e)
		e.ended = true
		p.mu.Unlock()
		e.done(nil, &NeverSentError{Cause: cause})
		return
	}
	if p.cfg.LingerTimeout > 0 && errors.Is(cause, ErrSuperseded) {
		e.lingering = conn.socket.SetReadDeadline(time.Now().Add(p.cfg.LingerTimeout)) == nil
		if e.lingering {
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	conn.fail(cause)
}

// open opens a connection for the exchange and reads the connection until it ends.
func (e *exchange) open() {
	p := e.pool
	ctx, cancel := context.WithDeadline(context.Background(), e.deadline)
	defer cancel()
	p.mu.Lock()
	e.stopDial = cancel
	gone := e.ended
	p.mu.Unlock()
	if gone {
		p.dialFailed(e.target.LeafID, nil)
		return
	}
	conn, err := dial(ctx, p, e.target)
	if err != nil {
		p.dialFailed(e.target.LeafID, err)
		e.end(nil, &NeverSentError{Cause: err})
		return
	}
	p.dialed(e.target.LeafID)
	p.mu.Lock()
	e.stopDial = nil
	taken := !e.ended
	if taken {
		conn.assign(e)
	}
	p.mu.Unlock()
	if taken {
		conn.begin(e)
	} else {
		conn.makeIdle(e.target)
	}
	conn.read()
}

// end ends the exchange and calls done, unless the exchange has already ended.
func (e *exchange) end(response *Response, err error) {
	e.pool.mu.Lock()
	ended := e.ended
	e.ended, e.conn = true, nil
	e.pool.mu.Unlock()
	if !ended {
		e.done(response, err)
	}
}

// isReset reports whether an error of a new connection means that the leaf accepts no more connections.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

package leafhttp

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// Done takes the end of an attempt: an answer, or a *NeverSentError or *BrokenAnswerError. It is
// called once, and must not block.
type Done func(response *Response, err error)

// Exchange is one attempt at one leaf: a request, and what becomes of it.
type Exchange struct {
	pool     *Pool
	target   Target
	request  *Request
	deadline time.Time
	done     Done

	// The rest is guarded by the pool's mutex.

	// conn carries the exchange; nil while it waits for a connection and once it ended.
	conn      *connection
	ended     bool
	finished  bool // its answer is in, and is about to be told
	lingering bool
	// stopDial ends the opening of its connection; nil unless one is being opened.
	stopDial context.CancelFunc
}

// Start begins an attempt: on a resting connection, a new one, or one that another attempt gives
// back. It does not block; done may be called before it returns. The function that it gives
// cancels the attempt, see Exchange.Cancel.
func (p *Pool) Start(target Target, request *Request, deadline time.Time, done Done) context.CancelCauseFunc {
	e := &Exchange{pool: p, target: target, request: request, deadline: deadline, done: done}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		e.end(nil, &NeverSentError{Cause: errClosed})
		return e.Cancel
	}
	held, mayOpen := p.reserve(e)
	p.mu.Unlock()
	switch {
	case held != nil:
		held.begin(e)
	case mayOpen:
		go e.open()
	}
	return e.Cancel
}

// Cancel ends an attempt whose answer nobody waits for. The connection is closed at once, unless
// the cause is ErrSuperseded: then the answer is awaited a little longer, to keep the connection.
func (e *Exchange) Cancel(cause error) {
	p := e.pool
	p.mu.Lock()
	if e.ended || e.finished {
		p.mu.Unlock()
		return
	}
	held := e.conn
	if held == nil {
		// That nothing was sent and that nothing will be is one step: between two, a connection that comes up would send it.
		p.stopWaiting(e)
		e.ended = true
		p.mu.Unlock()
		e.done(nil, &NeverSentError{Cause: cause})
		return
	}
	if p.config.LingerTimeout > 0 && errors.Is(cause, ErrSuperseded) {
		e.lingering = held.socket.SetReadDeadline(time.Now().Add(p.config.LingerTimeout)) == nil
		if e.lingering {
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	held.fail(cause)
}

// open opens a connection for the exchange and serves it from then on.
func (e *Exchange) open() {
	p := e.pool
	ctx, cancel := context.WithDeadline(context.Background(), e.deadline)
	defer cancel()
	p.mu.Lock()
	e.stopDial = cancel
	gone := e.ended
	p.mu.Unlock()
	if gone {
		p.countOut(e.target.LeafID, nil)
		return
	}
	held, err := dial(ctx, p, e.target)
	if err != nil {
		p.countOut(e.target.LeafID, err)
		e.end(nil, &NeverSentError{Cause: err})
		return
	}
	p.cameUp(e.target.LeafID)
	p.mu.Lock()
	e.stopDial = nil
	taken := !e.ended
	if taken {
		held.assign(e)
	}
	p.mu.Unlock()
	if taken {
		held.begin(e)
	} else {
		held.rest(e.target)
	}
	held.read()
}

// end tells of the end of the exchange, once.
func (e *Exchange) end(response *Response, err error) {
	e.pool.mu.Lock()
	ended := e.ended
	e.ended, e.conn = true, nil
	e.pool.mu.Unlock()
	if !ended {
		e.done(response, err)
	}
}

// isRefusal reports whether an error of a new connection means that the leaf takes no more.
func isRefusal(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

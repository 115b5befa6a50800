package leafhttp

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer is the size in bytes of a connection's read buffer.
const readBuffer = 2 << 10

// inlineBody is the size in bytes up to which a body is written before the answer is read; a
// longer one is written concurrently, since the leaf may answer before it has read all of it.
const inlineBody = 4 << 10

// extraIdleLimit is how long a connection beyond the allotment may be idle. It is short since other nodes may need the
// connection.
const extraIdleLimit = 2 * time.Second

// connection is one connection to a leaf, used by one exchange at a time. One goroutine reads it
// from its start to its end, so that unexpected bytes and a close by the leaf are noticed
// while it is idle.
type connection struct {
	pool   *Pool
	leafID string
	socket *net.TCPConn
	reader *bufio.Reader
	// outgoing holds the head of the current request; used by the goroutine that begins the exchange.
	outgoing bytes.Buffer
	// namesRequests says that the leaf's answers carry the request's id; used by the reading goroutine only.
	namesRequests bool
	// idleLimit is how long the connection may be idle.
	idleLimit time.Duration

	// The rest is guarded by the pool's mutex.

	// current is the exchange in progress; nil while the connection is idle.
	current   *Exchange
	idleSince time.Time
	// isExtra says that it is idle and beyond the node's allotment.
	isExtra bool
	// answered says that the leaf has answered on it.
	answered bool
	// removed says that it is no longer counted.
	removed bool
	// writing says that the current request is not completely written, and isLong that its body is
	// written concurrently.
	writing bool
	isLong  bool
	// releasePending is set if the answer came before the write was recorded as done: the connection
	// is released at that point.
	releasePending *Target
	// writeErr is why the body could not be written; the reader still accepts what the leaf sent
	// before that.
	writeErr error
}

// idleExpired reports whether the connection has been idle for as long as it may.
func (c *connection) idleExpired(now time.Time) bool {
	allowed := c.idleLimit - min(c.pool.config.IdleReserve, c.idleLimit/4)
	if c.isExtra {
		allowed = min(allowed, extraIdleLimit)
	}
	return now.Sub(c.idleSince) >= allowed
}

func (c *connection) close() {
	// A second close is harmless, and nothing can be done about any other failure.
	if err := c.socket.Close(); err != nil {
		return
	}
}

// begin sends the request of the exchange that has the connection.
func (c *connection) begin(e *Exchange) {
	remaining := time.Until(e.deadline)
	switch {
	case remaining <= 0:
		c.decline(e, errDeadlinePassed)
		return
	case c.pool.isDisallowed(e.target.LeafID):
		c.decline(e, errNotAllowed)
		return
	}
	if e.request.AtMostOnce && !c.hasNoInput() {
		e.end(nil, &NeverSentError{Cause: errStale})
		c.fail(errStale)
		return
	}
	e.request.encode(&c.outgoing, c.pool.names, e.target.expectedName(), remaining)
	isInline := len(e.request.Body) <= inlineBody
	if isInline {
		c.outgoing.Write(e.request.Body)
	}
	written, err := c.socket.Write(c.outgoing.Bytes())
	switch {
	case err != nil && written == 0:
		e.end(nil, &NeverSentError{Cause: err})
		c.fail(err)
	case err != nil:
		c.fail(err)
	case isInline:
		c.writeDone()
	default:
		go c.sendBody(e.request.Body)
	}
}

// decline ends an exchange that has the connection before anything was sent; the connection remains usable.
func (c *connection) decline(e *Exchange, cause error) {
	c.writeDone()
	c.release(e, true)
	e.end(nil, &NeverSentError{Cause: cause})
}

// assign hands the connection to an exchange, whose request counts as being written from then on. The
// pool's mutex must be held.
func (c *connection) assign(e *Exchange) {
	c.current, e.conn, c.writing = e, c, true
	c.isLong = len(e.request.Body) > inlineBody
}

// writeDone records that the current request is completely written. If its answer came before that, the
// connection is released now.
func (c *connection) writeDone() {
	c.pool.mu.Lock()
	c.writing = false
	target := c.releasePending
	c.releasePending = nil
	c.pool.mu.Unlock()
	if target != nil {
		c.makeIdle(*target)
	}
}

// hasNoInput reports whether the connection is open and has no unread bytes. The reading goroutine may not have noticed
// those yet. That does not matter for a request that may be repeated, but for another it would remain unknown whether
// the request ran.
func (c *connection) hasNoInput() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	isEmpty := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isEmpty = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && isEmpty
}

// sendBody writes a long body while the answer is read, since the leaf may answer before it has read
// all of it. If it can't be written, the reader closes the connection: an answer may have come before
// the leaf closed it, and the socket returns that before the error.
func (c *connection) sendBody(body []byte) {
	if _, err := c.socket.Write(body); err != nil {
		c.pool.mu.Lock()
		c.writeErr = err
		c.pool.mu.Unlock()
		return
	}
	c.writeDone()
}

// read reads answers until the connection ends.
func (c *connection) read() {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.fail(err)
			return
		}
		e := c.exchange()
		if e == nil {
			c.fail(errUnexpectedBytes)
			return
		}
		response, reusable, err := c.receive(e.request)
		if err != nil {
			c.fail(err)
			return
		}
		reusable = c.release(e, reusable && c.reader.Buffered() == 0)
		e.end(response, nil)
		if !reusable {
			return
		}
	}
}

// exchange returns the exchange in progress; nil while the connection is idle.
func (c *connection) exchange() *Exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.current
}

// release takes the connection from an exchange whose answer is complete, and hands it to one that waits or makes it
// idle. It reports whether the connection is still usable.
func (c *connection) release(e *Exchange, reusable bool) bool {
	p := c.pool
	p.mu.Lock()
	if c.removed {
		p.mu.Unlock()
		return false
	}
	c.current, e.conn, e.finished, c.answered = nil, nil, true, true
	leaf := p.leafs[c.leafID]
	// A leaf that answered before a long body was completely written may read the rest as another request.
	reusable = reusable && !(c.writing && c.isLong) && !p.closed && !leaf.forgotten
	if e.lingering {
		reusable = c.socket.SetReadDeadline(time.Time{}) == nil && reusable
	}
	if !reusable {
		leaf.drop(c)
		p.removeOpen(c.leafID, leaf)
		p.mu.Unlock()
		c.close()
		return false
	}
	if c.writing {
		c.releasePending = &e.target
		p.mu.Unlock()
		return true
	}
	next := c.nextOrIdle(leaf, e.target)
	p.mu.Unlock()
	if next != nil {
		c.begin(next)
	}
	return true
}

// makeIdle hands a connection that is not used any more to an exchange that waits, or makes it idle.
func (c *connection) makeIdle(target Target) {
	p := c.pool
	p.mu.Lock()
	if c.removed {
		p.mu.Unlock()
		return
	}
	leaf := p.leafs[c.leafID]
	if p.closed || leaf.forgotten {
		p.mu.Unlock()
		c.fail(errClosed)
		return
	}
	next := c.nextOrIdle(leaf, target)
	p.mu.Unlock()
	if next != nil {
		c.begin(next)
	}
}

// nextOrIdle assigns the connection to an exchange that waits and returns that, or makes it idle. The mutex must be
// held.
func (c *connection) nextOrIdle(leaf *leafConnections, target Target) *Exchange {
	if next := leaf.next(); next != nil {
		c.assign(next)
		return next
	}
	c.idleSince = time.Now()
	c.isExtra = leaf.open > target.Connections
	leaf.idle = append(leaf.idle, c)
	return nil
}

// fail closes the connection and ends the exchange in progress without an answer.
func (c *connection) fail(cause error) {
	p := c.pool
	p.mu.Lock()
	e := c.current
	c.current = nil
	if c.writeErr != nil {
		// The kernel reports a reset only once, and the writer got it.
		cause = c.writeErr
	}
	if !c.removed {
		leaf := p.leafs[c.leafID]
		leaf.drop(c)
		leaf.idle = slices.DeleteFunc(leaf.idle, func(conn *connection) bool { return conn == c })
		if !c.answered && isReset(cause) {
			leaf.refusedAt = time.Now()
			cause = &RefusedConnectionError{Cause: cause}
		}
		p.removeOpen(c.leafID, leaf)
	}
	p.mu.Unlock()
	c.close()
	if e != nil {
		e.end(nil, &BrokenAnswerError{Cause: cause})
	}
}

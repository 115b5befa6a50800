package leafhttp

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 2 << 10

// inlineBodyBytes is the maximum size of a body that is written together with the headers. A longer body is written
// concurrently with reading the answer, since the leaf may answer before it has read all of the body.
const inlineBodyBytes = 4 << 10

// extraIdleLimit is how long a connection beyond the allotment may be idle. It is short because other nodes may need
// the connection.
const extraIdleLimit = 2 * time.Second

// connection is a connection to a leaf, used by one exchange at a time. One goroutine reads it for its whole lifetime,
// so that unexpected bytes and a close by the leaf are detected while it is idle.
type connection struct {
	pool   *Pool
	leafID string
	// account holds the memory of the leaf's answers.
	account *memorybudget.Account
	socket  *net.TCPConn
	// heads reads the socket and limits the header of an answer; reader buffers it.
	heads  *memorybudget.HeadReader
	reader *bufio.Reader
	// outgoing holds the head of the current request. It is used only by the goroutine that begins the exchange.
	outgoing bytes.Buffer
	// sendsRequestIDs says that the leaf's answers carry the request ID. It is used only by the reading goroutine.
	sendsRequestIDs bool
	// idleLimit is how long the connection may be idle.
	idleLimit time.Duration

	// The fields below are guarded by the pool's mu.

	// current is the exchange in progress; nil while the connection is idle.
	current   *exchange
	idleSince time.Time
	// isExtra says that the idle connection is beyond the node's allotment.
	isExtra bool
	// answered says that the leaf has answered on the connection.
	answered bool
	// removed says that the connection is no longer counted.
	removed bool
	// writing says that the current request is not completely written, and hasLongBody that its body is written
	// concurrently.
	writing     bool
	hasLongBody bool
	// releasePending is set if the answer was received before the end of the write was recorded. The connection is then
	// released by writeDone.
	releasePending *Target
	// writeErr is the error of writing the body. The reader still accepts an answer that the leaf sent before it.
	writeErr error
}

// idleExpired reports whether the connection has reached its idle limit.
func (c *connection) idleExpired(now time.Time) bool {
	allowed := c.idleLimit - min(c.pool.cfg.IdleReserve, c.idleLimit/4)
	if c.isExtra {
		allowed = min(allowed, extraIdleLimit)
	}
	return now.Sub(c.idleSince) >= allowed
}

func (c *connection) close() {
	// Closing a closed socket is harmless, and other errors can't be handled.
	if err := c.socket.Close(); err != nil {
		return
	}
}

// begin sends the request of the exchange that has the connection.
func (c *connection) begin(e *exchange) {
	remaining := time.Until(e.deadline)
	switch {
	case remaining <= 0:
		c.endUnsent(e, errDeadlinePassed)
		return
	case c.pool.isDisallowed(e.target.LeafID):
		c.endUnsent(e, errNotAllowed)
		return
	}
	if e.request.AtMostOnce && !c.isOpenAndEmpty() {
		c.failUnsent(e, errStale)
		return
	}
	e.request.encode(&c.outgoing, c.pool.names, e.target.expectedName(), remaining)
	isInline := len(e.request.Body) <= inlineBodyBytes
	if isInline {
		c.outgoing.Write(e.request.Body)
	}
	written, err := c.socket.Write(c.outgoing.Bytes())
	switch {
	case err != nil && written == 0:
		c.failUnsent(e, err)
	case err != nil:
		c.fail(err)
	case isInline:
		c.writeDone()
	default:
		go c.sendBody(e.request.Body)
	}
}

// endUnsent ends an exchange that has the connection before anything was sent. The connection remains usable.
func (c *connection) endUnsent(e *exchange, cause error) {
	c.writeDone()
	c.release(e, true)
	e.end(nil, &NeverSentError{Cause: cause})
}

// failUnsent closes the connection and ends its exchange, none of whose request was sent. It removes the connection
// from the count before it ends the exchange, so that an immediate retry can open another.
func (c *connection) failUnsent(e *exchange, cause error) {
	c.pool.mu.Lock()
	if c.current == e {
		c.current = nil // keeps fail from ending e with a BrokenAnswerError
	}
	c.pool.mu.Unlock()
	c.fail(cause)
	e.end(nil, &NeverSentError{Cause: cause})
}

// assign gives the connection to an exchange and marks its request as being written. The request is not given this
// connection again. The pool's mu must be held.
func (c *connection) assign(e *exchange) {
	c.current, e.conn, c.writing = e, c, true
	e.request.carriers = append(e.request.carriers, c)
	c.hasLongBody = len(e.request.Body) > inlineBodyBytes
}

// writeDone records that the current request is completely written. If the answer has already been received, it
// releases the connection.
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

// isOpenAndEmpty reports whether the connection is open and has no unread bytes. It reads the socket, since the reading
// goroutine may not have noticed a close yet. A request that must not be repeated is not sent on a closed connection,
// because it would remain unknown whether the leaf ran it.
func (c *connection) isOpenAndEmpty() bool {
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

// sendBody writes a long body while the reader waits for the answer. If the write fails, it leaves closing the
// connection to the reader, because the leaf may have answered before it closed the connection, and the socket returns
// that answer before the error.
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
		e := c.currentExchange()
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

// currentExchange returns the exchange in progress; nil while the connection is idle.
func (c *connection) currentExchange() *exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.current
}

// release takes the connection from an exchange whose answer is complete, and assigns it to a waiting exchange or makes
// it idle. It reports whether the connection is still usable.
func (c *connection) release(e *exchange, reusable bool) bool {
	p := c.pool
	p.mu.Lock()
	if c.removed {
		p.mu.Unlock()
		return false
	}
	c.current, e.conn, e.finished, c.answered = nil, nil, true, true
	leaf := p.leafs[c.leafID]
	// A leaf that answered before the whole long body was written could read the rest as another request.
	reusable = reusable && !(c.writing && c.hasLongBody) && !p.closed && !leaf.forgotten && !leaf.mustReplace(c)
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

// makeIdle assigns an unused connection to a waiting exchange or makes it idle.
func (c *connection) makeIdle(target Target) {
	p := c.pool
	p.mu.Lock()
	if c.removed {
		p.mu.Unlock()
		return
	}
	leaf := p.leafs[c.leafID]
	if p.closed || leaf.forgotten || leaf.mustReplace(c) {
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

// nextOrIdle assigns the connection to a waiting exchange that may use it and returns the exchange, or makes the
// connection idle and returns nil. The pool's mu must be held.
func (c *connection) nextOrIdle(leaf *leafConnections, target Target) *exchange {
	if next := leaf.nextFor(c); next != nil {
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
		// The kernel reports a reset only once, and the writer received it.
		cause = c.writeErr
	}
	if !c.removed {
		leaf := p.leafs[c.leafID]
		leaf.drop(c)
		leaf.idle = slices.DeleteFunc(leaf.idle, func(conn *connection) bool { return conn == c })
		if !c.answered && isReset(cause) {
			leaf.resetAt = time.Now()
			cause = &ConnectionResetError{Cause: cause}
		}
		p.removeOpen(c.leafID, leaf)
	}
	p.mu.Unlock()
	c.close()
	if e != nil {
		e.end(nil, &BrokenAnswerError{Cause: cause})
	}
}

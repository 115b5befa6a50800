package leafhttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer is the size in bytes of a connection's read buffer.
const readBuffer = 2 << 10

// inlineBody is the size in bytes up to which a body is written before the answer is read; a
// longer one is written beside, since the leaf may answer before it has read all of it.
const inlineBody = 4 << 10

// spareRest is how long a spare connection may rest.
const spareRest = 2 * time.Second

// connection is one connection to a leaf, used by one exchange at a time. One goroutine reads it
// from its start to its end, so that bytes that nobody asked for, and its close, are noticed
// while it rests.
type connection struct {
	pool        *Pool
	incarnation string
	socket      *net.TCPConn
	reader      *bufio.Reader
	// outgoing holds the head of the request under way; whoever begins the exchange uses it.
	outgoing bytes.Buffer
	// namesRequests says that the leaf's answers name the request; only the reading goroutine
	// uses it.
	namesRequests bool
	// idleLimit is how long the connection may rest.
	idleLimit time.Duration

	// The rest is guarded by the pool's mutex.

	// current is the exchange under way; nil while the connection rests.
	current   *Exchange
	idleSince time.Time
	// isSpare says that it rests beyond the node's own part of the leaf's connections.
	isSpare bool
	// answered says that the leaf has answered on it.
	answered bool
	// dropped says that it is counted out.
	dropped bool
	// writing says that the request under way is not all written, and isLong that its body is
	// written beside the reading.
	writing bool
	isLong  bool
	// answeredFor is set when the answer came before the write was noted as done: the connection
	// is given back then.
	answeredFor *Target
	// writeErr is why the body could not be written; the reader still takes what the leaf said
	// before that.
	writeErr error
}

// dial opens a connection to an address given by IP number.
func dial(ctx context.Context, p *Pool, target Target) (*connection, error) {
	dialer := net.Dialer{
		Timeout:   p.config.ConnectTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return boundSilence(raw, p.config.SilenceTimeout)
		},
	}
	opened, err := dialer.DialContext(ctx, "tcp4", target.Address)
	if err != nil {
		return nil, err
	}
	socket := opened.(*net.TCPConn)
	return &connection{
		pool: p, incarnation: target.LeafID, socket: socket,
		reader: bufio.NewReaderSize(socket, readBuffer), idleLimit: p.config.IdleTimeout,
	}, nil
}

// boundSilence lets the kernel end a connection whose sent bytes stay unacknowledged.
func boundSilence(raw syscall.RawConn, limit time.Duration) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// rested reports whether the connection has rested as long as it may.
func (c *connection) rested(now time.Time) bool {
	allowed := c.idleLimit - min(c.pool.config.IdleReserve, c.idleLimit/4)
	if c.isSpare {
		allowed = min(allowed, spareRest)
	}
	return now.Sub(c.idleSince) >= allowed
}

func (c *connection) close() {
	// A second close is harmless, and nothing can be done about any other failure.
	if err := c.socket.Close(); err != nil {
		return
	}
}

// begin sends the request of the exchange that holds the connection.
func (c *connection) begin(e *Exchange) {
	remaining := time.Until(e.deadline)
	switch {
	case remaining <= 0:
		c.decline(e, errDeadlinePassed)
		return
	case c.pool.isBarred(e.target.LeafID):
		c.decline(e, errBarred)
		return
	}
	if e.request.AtMostOnce && !c.quiet() {
		e.end(nil, &NeverSentError{Cause: errStale})
		c.fail(errStale)
		return
	}
	e.request.encode(&c.outgoing, c.pool.dialect, e.target.expected(), remaining)
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
		c.wrote()
	default:
		go c.sendBody(e.request.Body)
	}
}

// decline ends an exchange that holds the connection before anything was sent; the connection stays good.
func (c *connection) decline(e *Exchange, cause error) {
	c.wrote()
	c.giveBack(e, true)
	e.end(nil, &NeverSentError{Cause: cause})
}

// assign gives the connection to an exchange, whose request is from then on being written. The
// pool's mutex must be held.
func (c *connection) assign(e *Exchange) {
	c.current, e.conn, c.writing = e, c, true
	c.isLong = len(e.request.Body) > inlineBody
}

// wrote notes that the request under way is all written. If its answer was faster than that, the
// connection is given back now.
func (c *connection) wrote() {
	c.pool.mu.Lock()
	c.writing = false
	target := c.answeredFor
	c.answeredFor = nil
	c.pool.mu.Unlock()
	if target != nil {
		c.rest(*target)
	}
}

// quiet reports whether the connection is open and holds no bytes. What its reading goroutine
// was not yet told of is of no matter for a request that may be repeated; for another it would
// leave open whether the request ran.
func (c *connection) quiet() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && isQuiet
}

// sendBody writes a long body beside the reading, since the leaf may answer before it has read
// all of it. If it can't be written, the reader ends the connection: an answer may have come before
// the leaf closed it, and the socket gives that before the error.
func (c *connection) sendBody(body []byte) {
	if _, err := c.socket.Write(body); err != nil {
		c.pool.mu.Lock()
		c.writeErr = err
		c.pool.mu.Unlock()
		return
	}
	c.wrote()
}

// read takes what the leaf sends until the connection ends.
func (c *connection) read() {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.fail(err)
			return
		}
		e := c.exchange()
		if e == nil {
			c.fail(errSurplus)
			return
		}
		response, reusable, err := c.receive(e.request)
		if err != nil {
			c.fail(err)
			return
		}
		reusable = c.giveBack(e, reusable && c.reader.Buffered() == 0)
		e.end(response, nil)
		if !reusable {
			return
		}
	}
}

// exchange gives the exchange under way; nil while the connection rests.
func (c *connection) exchange() *Exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.current
}

// giveBack takes the connection from an exchange whose answer is in, and hands it on or lets it
// rest. It reports whether the connection is still in use.
func (c *connection) giveBack(e *Exchange, reusable bool) bool {
	p := c.pool
	p.mu.Lock()
	if c.dropped {
		p.mu.Unlock()
		return false
	}
	c.current, e.conn, e.finished, c.answered = nil, nil, true, true
	leaf := p.leafs[c.incarnation]
	// A leaf that answered before a long body was all written has no place for the rest any more.
	reusable = reusable && !(c.writing && c.isLong) && !p.closed && !leaf.forgotten
	if e.lingering {
		reusable = c.socket.SetReadDeadline(time.Time{}) == nil && reusable
	}
	if !reusable {
		leaf.drop(c)
		p.lost(c.incarnation, leaf)
		p.mu.Unlock()
		c.close()
		return false
	}
	if c.writing {
		c.answeredFor = &e.target
		p.mu.Unlock()
		return true
	}
	next := c.restOrTake(leaf, e.target)
	p.mu.Unlock()
	if next != nil {
		c.begin(next)
	}
	return true
}

// rest lets a connection rest that nobody uses any more.
func (c *connection) rest(target Target) {
	p := c.pool
	p.mu.Lock()
	if c.dropped {
		p.mu.Unlock()
		return
	}
	leaf := p.leafs[c.incarnation]
	if p.closed || leaf.forgotten {
		p.mu.Unlock()
		c.fail(errClosed)
		return
	}
	next := c.restOrTake(leaf, target)
	p.mu.Unlock()
	if next != nil {
		c.begin(next)
	}
}

// restOrTake gives the connection to an exchange that waits, or lets it rest. The mutex must be
// held.
func (c *connection) restOrTake(leaf *leafConnections, target Target) *Exchange {
	if next := leaf.next(); next != nil {
		c.assign(next)
		return next
	}
	c.idleSince = time.Now()
	c.isSpare = leaf.open > target.Connections
	leaf.idle = append(leaf.idle, c)
	return nil
}

// fail ends the connection, and the exchange under way with an answer that did not come.
func (c *connection) fail(cause error) {
	p := c.pool
	p.mu.Lock()
	e := c.current
	c.current = nil
	if c.writeErr != nil {
		// The kernel tells of a reset once, and it told the writer.
		cause = c.writeErr
	}
	if !c.dropped {
		leaf := p.leafs[c.incarnation]
		leaf.drop(c)
		leaf.idle = slices.DeleteFunc(leaf.idle, func(held *connection) bool { return held == c })
		if !c.answered && isRefusal(cause) {
			leaf.refusedAt = time.Now()
			cause = &RefusedConnectionError{Cause: cause}
		}
		p.lost(c.incarnation, leaf)
	}
	p.mu.Unlock()
	c.close()
	if e != nil {
		e.end(nil, &BrokenAnswerError{Cause: cause})
	}
}

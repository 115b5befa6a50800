package leafhttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/portgauge/portgauge/internal/httpdialect"
)

// readBuffer is the size in bytes of a connection's read buffer.
const readBuffer = 2 << 10

// inlineBody is the size in bytes up to which a body is written before the answer is read; a
// longer one is written beside, since the leaf may answer before it has read all of it.
const inlineBody = 4 << 10

// maximumForeignAnswers is how many answers to other requests are skipped on a connection.
const maximumForeignAnswers = 2

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
	// bodies counts the bodies that are still being written.
	bodies int
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
		pool: p, incarnation: target.Incarnation, socket: socket,
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
	if remaining <= 0 {
		// Nothing was sent, so the connection stays good.
		c.giveBack(e, true)
		e.end(nil, &NeverSentError{Cause: errDeadlinePassed})
		return
	}
	if e.request.AtMostOnce && !c.quiet() {
		e.end(nil, &NeverSentError{Cause: errStale})
		c.fail(errStale)
		return
	}
	e.request.encode(&c.outgoing, c.pool.dialect, e.target.Incarnation, remaining)
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
	case !isInline:
		c.sendBody(e.request.Body)
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
// all of it.
func (c *connection) sendBody(body []byte) {
	c.pool.mutex.Lock()
	c.bodies++
	c.pool.mutex.Unlock()
	go func() {
		_, err := c.socket.Write(body)
		c.pool.mutex.Lock()
		c.bodies--
		c.pool.mutex.Unlock()
		if err != nil {
			c.fail(err)
		}
	}()
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
	c.pool.mutex.Lock()
	defer c.pool.mutex.Unlock()
	return c.current
}

// giveBack takes the connection from an exchange whose answer is in, and hands it on or lets it
// rest. It reports whether the connection is still in use.
func (c *connection) giveBack(e *Exchange, reusable bool) bool {
	p := c.pool
	p.mutex.Lock()
	if c.dropped {
		p.mutex.Unlock()
		return false
	}
	c.current, e.conn, e.finished, c.answered = nil, nil, true, true
	leaf := p.leafs[c.incarnation]
	// A leaf that answered before the body was all written has no place for the rest any more.
	reusable = reusable && c.bodies == 0 && !p.closed && !leaf.forgotten
	if e.lingering {
		reusable = c.socket.SetReadDeadline(time.Time{}) == nil && reusable
	}
	if !reusable {
		c.dropped = true
		p.lost(c.incarnation, leaf)
		p.mutex.Unlock()
		c.close()
		return false
	}
	next := c.restOrTake(leaf, e.target)
	p.mutex.Unlock()
	if next != nil {
		c.begin(next)
	}
	return true
}

// rest lets a connection rest that nobody uses any more.
func (c *connection) rest(target Target) {
	p := c.pool
	p.mutex.Lock()
	leaf := p.leafs[c.incarnation]
	if p.closed || leaf.forgotten {
		p.mutex.Unlock()
		c.fail(errClosed)
		return
	}
	next := c.restOrTake(leaf, target)
	p.mutex.Unlock()
	if next != nil {
		c.begin(next)
	}
}

// restOrTake gives the connection to an exchange that waits, or lets it rest. The mutex must be
// held.
func (c *connection) restOrTake(leaf *leafConnections, target Target) *Exchange {
	if next := leaf.next(); next != nil {
		c.current, next.conn = next, c
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
	p.mutex.Lock()
	e := c.current
	c.current = nil
	if !c.dropped {
		c.dropped = true
		leaf := p.leafs[c.incarnation]
		leaf.idle = slices.DeleteFunc(leaf.idle, func(held *connection) bool { return held == c })
		if !c.answered && isRefusal(cause) {
			leaf.refusedAt = time.Now()
			cause = &RefusedConnectionError{Cause: cause}
		}
		p.lost(c.incarnation, leaf)
	}
	p.mutex.Unlock()
	c.close()
	if e != nil {
		e.end(nil, &BrokenAnswerError{Cause: cause})
	}
}

// receive reads answers until the one to the request; those to other requests are skipped,
// and then the connection is not used again.
func (c *connection) receive(request *Request) (*Response, bool, error) {
	dialect := c.pool.dialect
	for foreign := 0; ; foreign++ {
		raw, err := c.readHead(request.Method)
		if err != nil {
			return nil, false, err
		}
		body, err := readBody(raw, c.pool.config.MaximumAnswerBytes)
		if err != nil {
			return nil, false, err
		}
		id := raw.Header.Get(dialect.RequestID)
		// A leaf that names requests names them all.
		if id != request.ID && (id != "" || c.namesRequests) {
			if foreign >= maximumForeignAnswers || raw.Close {
				return nil, false, &ForeignAnswerError{RequestID: id}
			}
			continue
		}
		c.namesRequests = c.namesRequests || id != ""
		c.idleLimit = idleLimit(raw.Header, c.pool.config.IdleTimeout)
		return newResponse(dialect, raw, body), foreign == 0 && !raw.Close, nil
	}
}

// readHead reads the status line and headers of a final answer.
func (c *connection) readHead(method string) (*http.Response, error) {
	for {
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case raw.StatusCode == http.StatusSwitchingProtocols:
			return nil, &UnexpectedStatusError{Status: raw.StatusCode}
		case raw.StatusCode >= http.StatusOK:
			return raw, nil
		}
	}
}

func readBody(raw *http.Response, limit int64) ([]byte, error) {
	if raw.ContentLength > limit {
		return nil, &AnswerTooLargeError{Limit: limit}
	}
	if raw.ContentLength > 0 && raw.Body != http.NoBody {
		body := make([]byte, raw.ContentLength)
		_, err := io.ReadFull(raw.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(raw.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &AnswerTooLargeError{Limit: limit}
	}
	return body, nil
}

func newResponse(dialect httpdialect.Dialect, raw *http.Response, body []byte) *Response {
	return &Response{
		Status:      raw.StatusCode,
		Header:      raw.Header,
		Body:        body,
		NotExecuted: raw.Header.Get(dialect.NotExecuted) != "" || raw.StatusCode == http.StatusMisdirectedRequest,
		Load:        parseLoad(raw.Header.Get(dialect.ServerLoad)),
		Leaving:     raw.Close,
	}
}

// loadFields is the number of figures in a leaf's word on its load.
const loadFields = 3

func parseLoad(text string) *Load {
	var figures [loadFields]int
	for index := range figures {
		field, rest, more := strings.Cut(text, ",")
		figure, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || figure < 0 || more != (index < loadFields-1) {
			return nil
		}
		figures[index], text = figure, rest
	}
	return &Load{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
}

// idleLimit reads how long the leaf lets a connection rest from its Keep-Alive header.
func idleLimit(header http.Header, otherwise time.Duration) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return otherwise
}

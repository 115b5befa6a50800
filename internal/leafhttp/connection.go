package leafhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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

// connection is one connection to a leaf, used by one attempt at a time.
type connection struct {
	socket    *net.TCPConn
	reader    *bufio.Reader
	idleSince time.Time
	// idleLimit is how long the connection may rest.
	idleLimit time.Duration
	// isSpare says that it rests beyond the node's own part of the leaf's connections.
	isSpare bool
	// answered says that the leaf has answered on it.
	answered bool
}

// isRefused reports whether an error means that the leaf did not take the connection: it ended
// before the first answer.
func (c *connection) isRefused(err error) bool {
	return !c.answered && errors.Is(err, syscall.ECONNRESET)
}

// dial opens a connection to an address given by IP number.
func dial(ctx context.Context, config Config, address string) (*connection, error) {
	dialer := net.Dialer{
		Timeout:   config.ConnectTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return boundSilence(raw, config.SilenceTimeout)
		},
	}
	opened, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	socket := opened.(*net.TCPConn)
	return &connection{socket: socket, reader: bufio.NewReaderSize(socket, readBuffer), idleLimit: config.IdleTimeout}, nil
}

// boundSilence lets the kernel end a connection whose sent bytes stay unacknowledged.
func boundSilence(raw syscall.RawConn, limit time.Duration) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// quiet reports whether a resting connection is open and holds no bytes: bytes that nobody
// asked for belong to no request.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && isQuiet
}

// rested reports whether the connection has rested as long as it may.
func (c *connection) rested(now time.Time, reserve time.Duration) bool {
	allowed := c.idleLimit - min(reserve, c.idleLimit/4)
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

// exchange sends a request and reads its answer. The connection may be used again only if
// reusable is true.
func (c *connection) exchange(dialect httpdialect.Dialect, config Config, request *Request, incarnation string, deadline time.Time) (response *Response, reusable bool, err error) {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return nil, true, &NeverSentError{Cause: errDeadlinePassed}
	}
	sent, err := c.send(request, request.encode(dialect, incarnation, remaining))
	if err != nil {
		return nil, false, err
	}
	response, reusable, err = c.receive(dialect, config, request)
	if err != nil {
		return nil, false, &BrokenAnswerError{Cause: err}
	}
	select {
	case sendErr := <-sent:
		reusable = reusable && sendErr == nil
	default:
		// The leaf answered before the body was all written: the rest has no place any more.
		reusable = false
	}
	return response, reusable && c.reader.Buffered() == 0, nil
}

// send writes the head and body. The channel gives the end of the write of the body.
func (c *connection) send(request *Request, head []byte) (<-chan error, error) {
	sent := make(chan error, 1)
	first := head
	if len(request.Body) <= inlineBody {
		first = append(first, request.Body...)
	}
	written, err := c.socket.Write(first)
	if err != nil {
		if written == 0 {
			return nil, &NeverSentError{Cause: err}
		}
		return nil, &BrokenAnswerError{Cause: err}
	}
	if len(request.Body) <= inlineBody {
		sent <- nil
		return sent, nil
	}
	go func() {
		_, err := c.socket.Write(request.Body)
		sent <- err
	}()
	return sent, nil
}

// receive reads answers until the one to the request; those to other requests are skipped,
// and then the connection is not used again.
func (c *connection) receive(dialect httpdialect.Dialect, config Config, request *Request) (*Response, bool, error) {
	for foreign := 0; ; foreign++ {
		raw, err := c.readHead(request.Method)
		if err != nil {
			return nil, false, err
		}
		body, err := readBody(raw, config.MaximumAnswerBytes)
		if err != nil {
			return nil, false, err
		}
		if id := raw.Header.Get(dialect.RequestID); id != "" && id != request.ID {
			if foreign >= maximumForeignAnswers || raw.Close {
				return nil, false, &ForeignAnswerError{RequestID: id}
			}
			continue
		}
		c.idleLimit = idleLimit(raw.Header, config.IdleTimeout)
		c.answered = true
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
	fields := strings.Split(text, ",")
	if len(fields) != loadFields {
		return nil
	}
	var figures [loadFields]int
	for index, field := range fields {
		figure, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || figure < 0 {
			return nil
		}
		figures[index] = figure
	}
	return &Load{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
}

// idleLimit reads how long the leaf lets a connection rest from its Keep-Alive header.
func idleLimit(header http.Header, otherwise time.Duration) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
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

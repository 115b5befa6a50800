package servingtree

import (
	"bufio"
	"net"
	"sync"
	"time"

	json "github.com/goccy/go-json"
)

// lineConn writes and reads the lines of one connection. Any number of goroutines may write, but only one may read.
type lineConn struct {
	cfg    Config
	socket net.Conn
	lines  *bufio.Scanner

	mu sync.Mutex // guards writing
}

// readBytes is the initial size of a connection's read buffer.
const readBytes = 4 << 10

func newLineConn(cfg Config, socket net.Conn) *lineConn {
	lines := bufio.NewScanner(socket)
	lines.Buffer(make([]byte, readBytes), cfg.MaximumLineBytes)
	return &lineConn{cfg: cfg, socket: socket, lines: lines}
}

// write writes a line. It closes the connection if the write fails or exceeds the write timeout, but not if the line
// can't be encoded or is too long; nothing was sent then.
func (c *lineConn) write(l line) error {
	l.Version = version
	encoded, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if len(encoded) >= c.cfg.MaximumLineBytes {
		return &LineTooLongError{Bytes: len(encoded), Limit: c.cfg.MaximumLineBytes}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.socket.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout)); err != nil {
		return err
	}
	if _, err := c.socket.Write(append(encoded, '\n')); err != nil {
		c.close()
		return err
	}
	return nil
}

func (c *lineConn) read() (line, error) {
	if err := c.socket.SetReadDeadline(time.Now().Add(c.cfg.IdleTimeout)); err != nil {
		return line{}, err
	}
	if !c.lines.Scan() {
		if err := c.lines.Err(); err != nil {
			return line{}, err
		}
		return line{}, net.ErrClosed
	}
	return decode(c.lines.Bytes())
}

// decode decodes a line and checks its version.
func decode(encoded []byte) (line, error) {
	var l line
	if err := json.Unmarshal(encoded, &l); err != nil {
		return line{}, err
	}
	if l.Version != version {
		return line{}, &VersionError{Version: l.Version}
	}
	return l, nil
}

func (c *lineConn) close() {
	// The error is ignored: the connection is already closed, or can't be closed.
	if err := c.socket.Close(); err != nil {
		return
	}
}

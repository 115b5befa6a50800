package servingtree

import (
	"net"
	"sync"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// lineConn writes and reads the lines of one connection. Any number of goroutines may write, but only one may read.
type lineConn struct {
	cfg    Config
	socket net.Conn
	lines  *memorybudget.LineReader
	// account holds the memory of the lines that the other node sends.
	account *memorybudget.Account

	mu sync.Mutex // guards writing
}

func newLineConn(cfg Config, socket net.Conn, memory *memorybudget.Budget) *lineConn {
	return &lineConn{
		cfg: cfg, socket: socket, lines: memorybudget.NewLineReader(socket, int64(cfg.MaximumLineBytes)),
		account: memory.OpenHost(memorybudget.Node, socket.RemoteAddr().String()),
	}
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

// read reads a line. The memory of what is decoded from it is added to the reservation, which must be empty.
func (c *lineConn) read(reservation *memorybudget.Reservation) (line, error) {
	if err := c.socket.SetReadDeadline(time.Now().Add(c.cfg.IdleTimeout)); err != nil {
		return line{}, err
	}
	encoded, err := c.lines.Read(reservation)
	if err != nil {
		return line{}, err
	}
	sent := reservation.Bytes()
	if err := reservation.Grow(memorybudget.DecodedBytes(encoded)); err != nil {
		return line{}, err
	}
	l, err := decode(encoded)
	reservation.Shrink(sent)
	return l, err
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

// ended closes the account when no line is read any more.
func (c *lineConn) ended() { c.account.Close() }

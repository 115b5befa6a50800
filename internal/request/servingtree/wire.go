package servingtree

import (
	"bufio"
	"net"
	"sync"
	"time"

	json "github.com/goccy/go-json"
)

// wire writes and reads the lines of one connection. Many goroutines may write, one may read.
type wire struct {
	cfg    Config
	socket net.Conn
	lines  *bufio.Scanner

	mu sync.Mutex // guards writing
}

// readBytes is the initial size of the read buffer of a connection.
const readBytes = 4 << 10

func newWire(cfg Config, socket net.Conn) *wire {
	lines := bufio.NewScanner(socket)
	lines.Buffer(make([]byte, readBytes), cfg.MaximumLineBytes)
	return &wire{cfg: cfg, socket: socket, lines: lines}
}

// write writes a line; if the socket fails, or takes nothing for the write timeout, the connection is closed.
func (w *wire) write(l line) error {
	l.Version = version
	encoded, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if len(encoded) >= w.cfg.MaximumLineBytes {
		return &LineTooLongError{Bytes: len(encoded), Limit: w.cfg.MaximumLineBytes}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.socket.SetWriteDeadline(time.Now().Add(w.cfg.WriteTimeout)); err != nil {
		return err
	}
	if _, err := w.socket.Write(append(encoded, '\n')); err != nil {
		w.close()
		return err
	}
	return nil
}

// read returns the next line.
func (w *wire) read() (line, error) {
	if err := w.socket.SetReadDeadline(time.Now().Add(w.cfg.IdleTimeout)); err != nil {
		return line{}, err
	}
	if !w.lines.Scan() {
		if err := w.lines.Err(); err != nil {
			return line{}, err
		}
		return line{}, net.ErrClosed
	}
	return decode(w.lines.Bytes())
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

func (w *wire) close() {
	// An error means that the connection is closed already, or that nothing can be done.
	if err := w.socket.Close(); err != nil {
		return
	}
}
